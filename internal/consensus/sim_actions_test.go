package consensus

import (
	"fmt"

	"github.com/crocusway/crocusway/internal/api"
)

// action is one random event of a run.
type action struct {
	name   string
	weight int
	do     func(s *sim) error
}

func simActions() []action {
	return []action{
		{"run", 6, func(s *sim) error { return s.run(1 + s.choose(12)) }},
		{"run long", 4, func(s *sim) error { return s.run(20 + s.choose(60)) }},
		{"shuffle", 8, (*sim).actShuffle},
		{"tick", 4, (*sim).actTick},
		{"propose", 6, (*sim).actPropose},
		{"read", 3, (*sim).actRead},
		{"partition", 2, (*sim).actPartition},
		{"heal network", 2, func(s *sim) error { clear(s.blockedLinks); return nil }},
		{"pause", 1, (*sim).actPause},
		{"crash", 3, (*sim).actCrash},
		{"restart", 4, (*sim).actRestart},
		{"lose disk", 1, (*sim).actLoseDisk},
		{"member", 2, (*sim).actMember},
		{"transfer", 1, (*sim).actTransfer},
		{"snapshot", 2, (*sim).actSnapshot},
	}
}

// weightedActions repeats each action as often as its weight.
func weightedActions() []action {
	var actions []action
	for _, a := range simActions() {
		for range a.weight {
			actions = append(actions, a)
		}
	}
	return actions
}

func (s *sim) anyNode() *simNode { return s.nodes[s.choose(len(s.nodes))] }

// anyLeader prefers a member in the role of leader.
func (s *sim) anyLeader() *simNode {
	leaders := s.leaders()
	if len(leaders) == 0 {
		return s.anyNode()
	}
	return leaders[s.choose(len(leaders))]
}

// actShuffle delivers, drops and duplicates messages out of order.
func (s *sim) actShuffle() error {
	for range 1 + s.choose(12) {
		if len(s.network) == 0 {
			return nil
		}
		i := s.choose(len(s.network))
		switch s.choose(5) {
		case 0:
			s.network = append(s.network[:i], s.network[i+1:]...)
		case 1:
			if err := s.deliver(i, true); err != nil {
				return err
			}
		default:
			if err := s.deliver(i, false); err != nil {
				return err
			}
		}
	}
	return nil
}

// actTick advances the time and ticks one member only.
func (s *sim) actTick() error {
	s.now += simStep * 2 * (1 + simDuration(s.choose(10)))
	n := s.anyNode()
	if !n.up || n.paused {
		return s.oracle.checkLeaders(s)
	}
	n.core.Tick(s.local(n))
	return s.processReady(n, noCrash)
}

func (s *sim) actPropose() error {
	n := s.anyLeader()
	if !n.up || n.paused {
		return nil
	}
	for range 1 + s.choose(6) {
		s.nextOp++
		command := fmt.Sprintf("%d", s.nextOp)
		if index, term, ok := n.core.Propose([]byte(command)); ok {
			n.proposed[index] = term
		}
	}
	return s.processReady(n, noCrash)
}

func (s *sim) actRead() error {
	n := s.anyLeader()
	if !n.up || n.paused {
		return nil
	}
	s.nextOp++
	n.reads[s.nextOp] = s.oracle.last
	n.core.ReadIndex(s.local(n), s.nextOp)
	return s.processReady(n, noCrash)
}

// actPartition isolates one member, or blocks one direction between two.
func (s *sim) actPartition() error {
	a, b := s.anyNode(), s.anyNode()
	if s.choose(2) == 0 {
		s.blockedLinks[[2]api.VoterID{a.id, b.id}] = true
		return nil
	}
	for _, n := range s.nodes {
		s.blockedLinks[[2]api.VoterID{a.id, n.id}] = true
		s.blockedLinks[[2]api.VoterID{n.id, a.id}] = true
	}
	return nil
}

func (s *sim) actPause() error {
	n := s.anyNode()
	n.paused = !n.paused
	return nil
}

// actCrash crashes a member, sometimes while it processes a Ready.
func (s *sim) actCrash() error {
	n := s.anyNode()
	if !n.up {
		return nil
	}
	point := crashPoint(s.choose(3))
	if point != noCrash && !n.paused {
		for i := 0; i < len(s.network); i++ {
			if s.network[i].To == n.id {
				n.core.Step(s.local(n), s.network[i])
				break
			}
		}
		if err := s.processReady(n, point); err != nil {
			return err
		}
	}
	n.up = false
	return nil
}

func (s *sim) actRestart() error {
	n := s.anyNode()
	if n.up && s.choose(2) == 0 {
		return nil
	}
	s.start(n)
	return s.processReady(n, noCrash)
}

// actLoseDisk empties a data folder while all other members are intact.
func (s *sim) actLoseDisk() error {
	n := s.anyNode()
	if !s.mayLoseDisk(n) {
		return nil
	}
	return s.loseDisk(n)
}

func (s *sim) loseDisk(n *simNode) error {
	s.oracle.eventCounts["disk lost"]++
	n.disk = State{}
	switch {
	case s.fault == faultDiskLossIgnored:
		n.disk.Snapshot.Membership = s.oracle.config
	case s.fault == faultBootstrapTrusted || s.choose(2) == 0:
		// The bootstrap option is still set.
		n.incarnation = BootstrapIncarnation
		n.disk.Snapshot.Membership = s.bootstrap
	default:
		n.newest++
		n.incarnation = n.newest
	}
	s.start(n)
	return s.processReady(n, noCrash)
}

// mayLoseDisk keeps a majority of intact voters, which the log needs.
func (s *sim) mayLoseDisk(lost *simNode) bool {
	if s.oracle.config.voterCount() < 3 {
		return false
	}
	for _, m := range s.oracle.config.Members {
		n := s.node(m.ID)
		if m.Rejoining || m.Incarnation != n.incarnation || n.disk.HardState.Term == 0 {
			return false
		}
		if n != lost && n.disk.pendingConfig(s.oracle.last) {
			return false
		}
	}
	return !lost.disk.pendingConfig(s.oracle.last)
}

// pendingConfig reports whether a membership beyond index is stored.
func (s State) pendingConfig(index uint64) bool {
	for _, e := range s.Entries {
		if e.Kind == EntryConfig && e.Index > index {
			return true
		}
	}
	return false
}

func (s *sim) actMember() error {
	n := s.anyLeader()
	if !n.up || n.paused {
		return nil
	}
	target := s.anyNode()
	kinds := []ChangeKind{ChangeAddLearner, ChangePromote, ChangePromote, ChangeRemove}
	kind := kinds[s.choose(len(kinds))]
	if kind == ChangeRemove && n.core.membership().voterCount() <= simVoters {
		return nil
	}
	_, _, _ = n.core.ProposeMembership(Change{Kind: kind, Member: Member{ID: target.id}})
	return s.processReady(n, noCrash)
}

func (s *sim) actSnapshot() error {
	n := s.anyNode()
	if !n.up || n.paused || n.applied == 0 || n.applied <= n.disk.Snapshot.Index {
		return nil
	}
	snap := n.core.NewSnapshot(encodeSimState(n.applied, n.hash))
	n.disk.Entries = n.disk.Entries[snap.Index-n.disk.Snapshot.Index:]
	n.disk.Snapshot = snap
	n.core.Compact(snap)
	return s.processReady(n, noCrash)
}

// simulate runs random actions, heals everything and returns the first
// violation.
func simulate(f fault, choose func(n int) int, steps int) (*sim, error) {
	s := newSim(f, simVoters+2*choose(2), choose)
	actions := weightedActions()
	if err := s.run(60); err != nil {
		return s, err
	}
	for range steps {
		if err := actions[s.choose(len(actions))].do(s); err != nil {
			return s, err
		}
	}
	return s, s.heal()
}

// heal ends every fault and waits until the members agree.
func (s *sim) heal() error {
	clear(s.blockedLinks)
	for _, n := range s.nodes {
		n.paused = false
		if !n.up {
			s.start(n)
		}
	}
	err := fmt.Errorf("not run")
	for range 60 {
		if failed := s.run(20); failed != nil {
			return failed
		}
		if err = s.oracle.checkConverged(s); err == nil {
			return nil
		}
	}
	return err
}

func (s *sim) actTransfer() error {
	n := s.anyLeader()
	if !n.up || n.paused {
		return nil
	}
	if n.core.Transfer() {
		s.oracle.eventCounts["transfer"]++
	}
	return s.processReady(n, noCrash)
}
