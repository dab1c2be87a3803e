package consensus

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// fault selects a deliberately broken variant of the log.
type fault string

const (
	faultNone               fault = ""
	faultAckBeforeSync      fault = "acknowledge before sync"
	faultVoteNotPersisted   fault = "vote not persisted"
	faultDiskLossIgnored    fault = "lost disk keeps its incarnation"
	faultOldTermCommit      fault = "commit an older term by counting replicas"
	faultLeaseFromResponse  fault = "lease counted from the response"
	faultTransferKeepsLease fault = "transfer keeps the lease"
	faultEarlyChange        fault = "membership change before the first commit of the term"
	faultBootstrapTrusted   fault = "bootstrap of an empty folder is trusted"
	faultVoteAfterRestart   fault = "restart discards the contact with a leader"
)

// simNode is one member: its core, its disk and its state machine.
type simNode struct {
	id          api.VoterID
	incarnation api.Incarnation
	core        *Core
	disk        State
	up, paused  bool
	// drift is the deviation of the clock rate in percent.
	drift int64
	seed  uint64
	// newest is the highest incarnation that the member ever had.
	newest  api.Incarnation
	applied uint64
	hash    uint64
	// proposed maps the index of own proposals to their term.
	proposed map[uint64]uint64
	reads    map[uint64]uint64
}

// sim is a set of members on a network that loses, duplicates and reorders.
type sim struct {
	fault        fault
	choose       func(n int) int
	now          time.Duration
	nodes        []*simNode
	network      []Message
	blockedLinks map[[2]api.VoterID]bool
	oracle       *oracle
	// bootstrap is the bootstrap membership.
	bootstrap Membership
	nextOp    uint64
}

const (
	simMembers     = 5
	simVoters      = 3
	simStep        = 25 * time.Millisecond
	simMaxInFlight = 400
)

// newSim starts all members; the first ones, 3 or 5, are voters.
func newSim(f fault, voters int, choose func(n int) int) *sim {
	s := &sim{fault: f, choose: choose, blockedLinks: map[[2]api.VoterID]bool{}, oracle: newOracle()}
	var boot Membership
	for i := range voters {
		boot.Members = append(boot.Members, Member{ID: simID(i), Incarnation: BootstrapIncarnation})
	}
	s.oracle.config, s.bootstrap = boot, boot
	for i := range simMembers {
		n := &simNode{id: simID(i), incarnation: BootstrapIncarnation, newest: BootstrapIncarnation, seed: uint64(i + 1)}
		n.drift = int64(choose(2*MaxClockDriftPercent+1)) - MaxClockDriftPercent
		if i < voters {
			n.disk.Snapshot.Membership = boot
		}
		s.nodes = append(s.nodes, n)
		s.start(n)
	}
	return s
}

func simID(i int) api.VoterID { return api.VoterID(fmt.Sprintf("n%d", i)) }

func (s *sim) node(id api.VoterID) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// local returns the monotonic clock of a member.
func (s *sim) local(n *simNode) time.Duration { return s.now * time.Duration(100+n.drift) / 100 }

func (s *sim) start(n *simNode) {
	n.up, n.paused = true, false
	n.proposed, n.reads = map[uint64]uint64{}, map[uint64]uint64{}
	n.applied, n.hash = decodeSimState(n.disk.Snapshot)
	n.seed += 100
	state := n.disk
	state.Entries = slices.Clone(state.Entries)
	cfg := CoreConfig{
		ID: n.id, Incarnation: n.incarnation, Seed: n.seed, Nonce: n.seed,
		MaxAppendBytes: 64, MaxInflight: 4, ChunkBytes: 8, TrailingEntries: 4,
	}
	n.core = NewCore(cfg, state, s.local(n))
	switch s.fault {
	case faultDiskLossIgnored, faultBootstrapTrusted:
		n.core.bootstrapCheck = nil
	case faultOldTermCommit:
		n.core.mayCommit = func(uint64) bool { return true }
	case faultLeaseFromResponse:
		n.core.leaseStart = func(_, answered time.Duration) time.Duration { return answered }
	case faultVoteAfterRestart:
		n.core.lastLeaderContact = -time.Hour
	}
}

// encodeSimState pads the state, so that a snapshot takes several chunks.
func encodeSimState(index, hash uint64) []byte {
	data := binary.BigEndian.AppendUint64(nil, index)
	data = binary.BigEndian.AppendUint64(data, hash)
	return append(data, make([]byte, 8)...)
}

func decodeSimState(s Snapshot) (index, hash uint64) {
	if len(s.Data) == 0 {
		return s.Index, 0
	}
	return binary.BigEndian.Uint64(s.Data), binary.BigEndian.Uint64(s.Data[8:])
}

func chainHash(hash uint64, e Entry) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %d %d %d %s", hash, e.Index, e.Term, e.Kind, e.Data)
	return h.Sum64()
}

// crashPoint is where a member crashes while it processes a Ready.
type crashPoint int

const (
	noCrash crashPoint = iota
	crashBeforeSync
	crashAfterSync
)

// processReady executes everything that a core asks for.
func (s *sim) processReady(n *simNode, crash crashPoint) error {
	for n.up && n.core.HasReady() {
		rd := n.core.Ready()
		s.enqueue(rd.Messages)
		if s.fault == faultAckBeforeSync {
			s.enqueue(rd.Responses)
		}
		if crash == crashBeforeSync {
			n.up = false
			return nil
		}
		if err := s.persist(n, rd); err != nil {
			return err
		}
		if crash == crashAfterSync {
			n.up = false
			return nil
		}
		n.core.Advance()
		if s.fault != faultAckBeforeSync {
			s.enqueue(rd.Responses)
		}
		if err := s.apply(n, rd); err != nil {
			return err
		}
	}
	if n.up && n.core.Obsolete() {
		s.oracle.eventCounts["bootstrap refused"]++
		n.newest++
		n.incarnation = n.newest
		s.start(n)
	}
	if err := n.core.Err(); err != nil {
		return fmt.Errorf("committed entry lost: %w", err)
	}
	return s.oracle.checkLeaders(s)
}

func (s *sim) persist(n *simNode, rd Ready) error {
	if rd.Snapshot != nil {
		n.disk.Snapshot = *rd.Snapshot
		n.disk.Entries = nil
		n.applied, n.hash = decodeSimState(*rd.Snapshot)
		if err := s.oracle.checkRestored(n); err != nil {
			return err
		}
	}
	if !rd.MustSync {
		return nil
	}
	n.disk.HardState = rd.HardState
	if s.fault == faultVoteNotPersisted {
		n.disk.HardState.Vote = ""
	}
	for _, e := range rd.Entries {
		keep := e.Index - n.disk.Snapshot.Index - 1
		n.disk.Entries = append(slices.Clip(n.disk.Entries[:keep]), e)
		if err := s.oracle.checkStored(n, e); err != nil {
			return err
		}
	}
	return nil
}

func (s *sim) apply(n *simNode, rd Ready) error {
	for _, e := range rd.Committed {
		if err := s.oracle.checkApplied(n, e); err != nil {
			return err
		}
	}
	for _, r := range rd.Reads {
		if r.Failed {
			s.oracle.eventCounts["read failed"]++
			continue
		}
		s.oracle.eventCounts["read served"]++
		if want := n.reads[r.ID]; r.Index < want {
			return fmt.Errorf("stale read: %s served index %d after %d was committed", n.id, r.Index, want)
		}
	}
	return nil
}

func (s *sim) enqueue(msgs []Message) {
	for _, m := range msgs {
		if !s.blockedLinks[[2]api.VoterID{m.From, m.To}] {
			s.network = append(s.network, m)
		}
	}
	if over := len(s.network) - simMaxInFlight; over > 0 {
		s.network = slices.Clone(s.network[over:])
	}
}

// deliver hands the i-th message in flight to its receiver.
func (s *sim) deliver(i int, keep bool) error {
	m := s.network[i]
	if !keep {
		s.network = slices.Delete(s.network, i, i+1)
	}
	n := s.node(m.To)
	if !n.up || n.paused || s.blockedLinks[[2]api.VoterID{m.From, m.To}] {
		return nil
	}
	payload, err := EncodeMessages([]Message{m})
	if err != nil {
		return err
	}
	msgs, err := DecodeMessages(payload)
	if err != nil {
		return err
	}
	n.core.Step(s.local(n), msgs[0])
	return s.processReady(n, noCrash)
}

// run advances the members by some steps, delivering messages in order.
func (s *sim) run(steps int) error {
	for range steps {
		s.now += simStep
		for _, n := range s.nodes {
			if !n.up || n.paused {
				continue
			}
			n.core.Tick(s.local(n))
			if err := s.processReady(n, noCrash); err != nil {
				return err
			}
		}
		for range len(s.network) * 2 {
			if len(s.network) == 0 {
				break
			}
			if err := s.deliver(0, false); err != nil {
				return err
			}
		}
	}
	return nil
}

// leaders returns the running members in the role of leader.
func (s *sim) leaders() []*simNode {
	var out []*simNode
	for _, n := range s.nodes {
		if n.up && !n.paused && n.core.role == leader {
			out = append(out, n)
		}
	}
	return out
}
