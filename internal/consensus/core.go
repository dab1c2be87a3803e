package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// CoreConfig configures a Core.
type CoreConfig struct {
	ID          api.VoterID
	Incarnation api.Incarnation
	// Heartbeat is the interval between two heartbeat rounds.
	Heartbeat time.Duration
	// ElectionMin and ElectionMax bound the randomised election timeout.
	ElectionMin time.Duration
	ElectionMax time.Duration
	// MaxAppendBytes bounds the data of one append message.
	MaxAppendBytes int
	// MaxInflight bounds the unacknowledged append messages to one member.
	MaxInflight int
	// MaxReadyBytes bounds the data of all append messages of one Ready, except that
	// one message may exceed it.
	MaxReadyBytes int
	// ChunkBytes is the size of a snapshot chunk.
	ChunkBytes int
	// TrailingEntries and TrailingBytes bound the log kept in memory after a
	// snapshot for slow members.
	TrailingEntries uint64
	TrailingBytes   int
	// Seed seeds the election timeouts.
	Seed uint64
	// TrustBootstrap states that a bootstrapped member has never lost its data folder:
	// whoever sets the bootstrap option takes it back after the first start.
	TrustBootstrap bool
	// Nonce differs between any two processes of one member.
	Nonce uint64
}

// Default limits of a Core.
const (
	defaultMaxAppendBytes  = 128 << 10
	defaultMaxInflight     = 64
	defaultMaxReadyBytes   = 256 << 10
	defaultChunkBytes      = 128 << 10
	defaultTrailingEntries = 1024
	defaultTrailingBytes   = 4 << 20
)

func (c *CoreConfig) setDefaults() {
	setDefault(&c.Heartbeat, DefaultHeartbeat)
	setDefault(&c.ElectionMin, DefaultElectionMin)
	setDefault(&c.ElectionMax, DefaultElectionMax)
	setDefault(&c.MaxAppendBytes, defaultMaxAppendBytes)
	setDefault(&c.MaxInflight, defaultMaxInflight)
	setDefault(&c.MaxReadyBytes, defaultMaxReadyBytes)
	setDefault(&c.ChunkBytes, defaultChunkBytes)
	setDefault(&c.TrailingEntries, defaultTrailingEntries)
	setDefault(&c.TrailingBytes, defaultTrailingBytes)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

func (r role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// Core is the state of one member as a pure step function. Time enters as the
// duration since an arbitrary origin of the member's monotonic clock. A Core is
// not safe for concurrent use.
type Core struct {
	cfg    CoreConfig
	rand   *rand.Rand
	now    time.Duration
	log    *entryLog
	term   uint64
	vote   api.VoterID
	role   role
	leader api.VoterID

	// lastLeaderContact is the time of the last heartbeat, append or snapshot of a
	// leader. For ElectionMin after it, the member votes for no other. It starts
	// at the start of the process, because it is not persisted.
	lastLeaderContact time.Duration
	// lastLeader is the leader of that contact, empty before the first one.
	lastLeader api.VoterID
	// deadline is when the next election or heartbeat round is due.
	deadline time.Duration
	votes    map[api.VoterID]bool
	// forced is set in an election that a leadership transfer started.
	forced bool

	// bootstrapCheck is set while a bootstrapped member may not yet participate.
	bootstrapCheck *bootstrapCheck

	configs          []indexedConfig
	snapshot         Snapshot
	incoming         *incomingSnapshot
	receivedSnapshot *Snapshot

	peers  map[api.VoterID]*progress
	lease  leaseState
	rejoin map[api.VoterID]Member
	// termStart is the index of the first entry that this leader appended.
	termStart uint64

	// err is an inconsistency that only a faulty member can cause. It stops the
	// core.
	err error

	saved     HardState
	messages  []Message
	responses []Message
	reads     []ReadState
	ready     pendingReady
	// appendBytes is the size of the append messages in messages, and nextMember the
	// member that flush continues with once they have been sent.
	appendBytes int
	nextMember  int

	// mayCommit reports whether counting replicas commits an entry of a term.
	mayCommit func(term uint64) bool
	// leaseStart picks the start of a lease from the times at which a heartbeat
	// round was sent and answered.
	leaseStart func(sent, answered time.Duration) time.Duration
}

// pendingReady records what the last Ready returned.
type pendingReady struct {
	last    uint64
	applied uint64
	hard    HardState
}

// NewCore returns a follower that continues from state.
func NewCore(cfg CoreConfig, state State, now time.Duration) *Core {
	cfg.setDefaults()
	c := &Core{
		cfg:               cfg,
		rand:              rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Incarnation))),
		now:               now,
		log:               newEntryLog(state),
		term:              state.HardState.Term,
		vote:              state.HardState.Vote,
		lastLeaderContact: now,
		snapshot:          state.Snapshot,
		saved:             state.HardState,
		rejoin:            map[api.VoterID]Member{},
	}
	c.bootstrapCheck = newBootstrapCheck(cfg, state)
	c.mayCommit = func(term uint64) bool { return term == c.term }
	c.leaseStart = func(sent, _ time.Duration) time.Duration { return sent }
	c.loadConfigs(state)
	c.resetElectionTimer()
	return c
}

// Err returns the inconsistency that stopped the core, or nil.
func (c *Core) Err() error { return c.err }

// Tick advances the clock and handles an expired timer.
func (c *Core) Tick(now time.Duration) {
	c.setNow(now)
	if c.err != nil {
		return
	}
	switch {
	case c.bootstrapCheck != nil:
		c.tickBootstrapCheck()
		return
	case c.role == leader:
		c.tickLeader()
		return
	}
	if c.now >= c.deadline {
		c.campaign()
	}
}

// Step processes one message of another member.
func (c *Core) Step(now time.Duration, m Message) {
	c.setNow(now)
	if c.err != nil || m.To != c.cfg.ID || m.From == c.cfg.ID {
		return
	}
	switch {
	case m.Kind == MsgHello:
		c.handleHello(m)
		return
	case m.Kind == MsgHelloResponse:
		c.handleHelloResponse(m)
		return
	case c.bootstrapCheck != nil || !c.stepTerm(m):
		return
	}
	switch m.Kind {
	case MsgPreVote:
		c.handlePreVote(m)
	case MsgVote:
		c.handleVote(m)
	case MsgPreVoteResponse, MsgVoteResponse:
		c.handleVoteResponse(m)
	case MsgAppend:
		c.handleAppend(m)
	case MsgHeartbeat:
		c.handleHeartbeat(m)
	case MsgSnapshot:
		c.handleSnapshot(m)
	case MsgTransfer:
		c.handleTransfer(m)
	case MsgAppendResponse, MsgHeartbeatResponse, MsgSnapshotResponse:
		c.handleResponse(m)
	}
}

// stepTerm compares the term of a message with ours, and reports whether the
// message is to be handled.
func (c *Core) stepTerm(m Message) bool {
	if m.Kind == MsgPreVote {
		return true
	}
	if m.Term < c.term {
		c.rejectStaleTerm(m)
		return false
	}
	if m.Term == c.term {
		return true
	}
	switch m.Kind {
	case MsgVote:
		if c.recentLeaderContact() && !m.Forced {
			return false
		}
		c.becomeFollower(m.Term, "")
	case MsgPreVoteResponse:
		if m.Reject {
			c.becomeFollower(m.Term, "")
			return false
		}
	case MsgAppend, MsgHeartbeat, MsgSnapshot, MsgTransfer:
		c.becomeFollower(m.Term, m.From)
	default:
		if _, known := c.membership().find(m.From); !known {
			return false
		}
		c.becomeFollower(m.Term, "")
	}
	return true
}

// rejectStaleTerm answers a message of an older term with the current term, so
// that a deposed leader steps down.
func (c *Core) rejectStaleTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		c.respond(Message{Kind: MsgHeartbeatResponse, To: m.From, Reject: true})
	case MsgVote:
		c.respond(Message{Kind: MsgVoteResponse, To: m.From, Reject: true})
	}
}

func (c *Core) becomeFollower(term uint64, lead api.VoterID) {
	if term > c.term {
		c.term = term
		c.vote = ""
	}
	if c.role == leader {
		c.failReads()
	}
	c.role = follower
	c.leader = lead
	c.peers = nil
	c.votes = nil
	c.resetElectionTimer()
}

// setNow never moves the clock back.
func (c *Core) setNow(now time.Duration) { c.now = max(c.now, now) }

// send queues a message that may be sent before the next sync.
func (c *Core) send(m Message) { c.messages = append(c.messages, c.stamp(m)) }

// respond queues a message that may be sent only after the next sync.
func (c *Core) respond(m Message) { c.responses = append(c.responses, c.stamp(m)) }

func (c *Core) stamp(m Message) Message {
	m.From = c.cfg.ID
	m.Inc = c.cfg.Incarnation
	if m.Term == 0 {
		m.Term = c.term
	}
	return m
}

// Propose appends commands to the log of the leader and returns the index of
// the first and the term. ok is false on another member.
func (c *Core) Propose(commands ...[]byte) (first, term uint64, ok bool) {
	if c.role != leader {
		return 0, 0, false
	}
	first = c.log.last() + 1
	for _, command := range commands {
		c.appendEntry(EntryNormal, command)
	}
	return first, c.term, true
}

func (c *Core) appendEntry(kind EntryKind, data []byte) uint64 {
	index := c.log.last() + 1
	c.log.append(Entry{Index: index, Term: c.term, Kind: kind, Data: data})
	return index
}

func (c *Core) hardState() HardState {
	return HardState{Term: c.term, Vote: c.vote, Commit: c.log.committed}
}

// HasReady reports whether Ready would return anything.
func (c *Core) HasReady() bool {
	if c.err != nil {
		return false
	}
	c.flush()
	return len(c.messages)+len(c.responses)+len(c.reads) > 0 ||
		c.receivedSnapshot != nil || c.mustSync() || c.log.applied < c.log.committed
}

// mustSync reports whether anything has to be durable. The commit index alone
// does not: the leader sends it again.
func (c *Core) mustSync() bool {
	return c.log.stable < c.log.last() || c.term != c.saved.Term || c.vote != c.saved.Vote
}

// Ready returns what the caller has to carry out before it calls Advance. No
// other method may be called in between.
func (c *Core) Ready() Ready {
	c.flush()
	rd := Ready{
		Messages:  c.messages,
		Responses: c.responses,
		Reads:     c.reads,
		Snapshot:  c.receivedSnapshot,
		HardState: c.hardState(),
		MustSync:  c.mustSync(),
		Entries:   c.log.slice(c.log.stable+1, c.log.last(), 0),
		Committed: c.log.slice(c.log.applied+1, c.log.committed, 0),
	}
	if c.term != c.saved.Term {
		// No message of a term may be sent before the term is durable.
		rd.Messages = nil
		rd.Responses = slices.Concat(c.messages, c.responses)
	}
	c.messages, c.responses, c.reads, c.receivedSnapshot = nil, nil, nil, nil
	c.appendBytes = 0
	c.ready = pendingReady{last: c.log.last(), applied: c.log.committed, hard: rd.HardState}
	return rd
}

// Advance records that the last Ready has been persisted.
func (c *Core) Advance() {
	c.log.stable = c.ready.last
	c.log.applied = c.ready.applied
	c.saved = c.ready.hard
	if c.role == leader {
		c.maybeCommit()
	}
}

// uncommitted returns the number of entries that a leader has appended ahead
// of a quorum.
func (c *Core) uncommitted() uint64 {
	if c.role != leader {
		return 0
	}
	return c.log.last() - c.log.committed
}

// Applied returns the index handed out for application.
func (c *Core) Applied() uint64 { return c.log.applied }

// match returns the index of the last entry known to be synced by a member;
// only the leader tracks other members.
func (c *Core) match(id api.VoterID) uint64 {
	if id == c.cfg.ID {
		return c.log.stable
	}
	if p, ok := c.peers[id]; ok {
		return p.match
	}
	return 0
}
