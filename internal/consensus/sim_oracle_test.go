package consensus

import (
	"bytes"
	"fmt"

	"github.com/crocusway/crocusway/internal/api"
)

// oracle checks the invariants that span all members.
type oracle struct {
	// leaders maps a term to its only leader.
	leaders map[uint64]api.VoterID
	// entries maps (index, term) to the only entry at that position.
	entries map[[2]uint64]storedEntry
	// committed and hashes are the agreed log and state by index.
	committed map[uint64]Entry
	hashes    map[uint64]uint64
	last      uint64
	acked     uint64
	// config is the newest committed membership.
	config Membership
	// eventCounts counts the events of a run.
	eventCounts map[string]int
}

type storedEntry struct {
	entry    Entry
	prevTerm uint64
}

func newOracle() *oracle {
	return &oracle{
		leaders:     map[uint64]api.VoterID{},
		entries:     map[[2]uint64]storedEntry{},
		committed:   map[uint64]Entry{},
		hashes:      map[uint64]uint64{0: 0},
		eventCounts: map[string]int{},
	}
}

// checkStored checks log matching: an index and a term identify one entry with
// one predecessor.
func (o *oracle) checkStored(n *simNode, e Entry) error {
	prevTerm, _ := n.core.log.term(e.Index - 1)
	key := [2]uint64{e.Index, e.Term}
	old, ok := o.entries[key]
	if !ok {
		o.entries[key] = storedEntry{e, prevTerm}
		return nil
	}
	if !sameEntry(old.entry, e) || old.prevTerm != prevTerm {
		return fmt.Errorf("log matching: %s holds another entry %d of term %d", n.id, e.Index, e.Term)
	}
	return nil
}

func sameEntry(a, b Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && a.Kind == b.Kind && bytes.Equal(a.Data, b.Data)
}

// checkApplied checks that every member applies the same entries in order.
func (o *oracle) checkApplied(n *simNode, e Entry) error {
	if e.Index != n.applied+1 {
		return fmt.Errorf("%s applied %d after %d", n.id, e.Index, n.applied)
	}
	if old, ok := o.committed[e.Index]; ok && !sameEntry(old, e) {
		return fmt.Errorf("committed entry lost: %s applied (%d, term %d) in place of term %d", n.id, e.Index, e.Term, old.Term)
	}
	n.applied = e.Index
	n.hash = chainHash(n.hash, e)
	o.committed[e.Index] = e
	o.hashes[e.Index] = n.hash
	if e.Index > o.last {
		o.last = e.Index
		if e.Kind == EntryConfig {
			o.config, _ = decodeMembership(e.Data)
			o.eventCounts[fmt.Sprintf("%d voters of %d members", o.config.voterCount(), len(o.config.Members))]++
		}
	}
	if term, ok := n.proposed[e.Index]; ok && term == e.Term {
		o.acked = max(o.acked, e.Index)
		o.eventCounts["acknowledged"]++
	}
	return nil
}

// checkRestored checks a state received as a snapshot.
func (o *oracle) checkRestored(n *simNode) error {
	o.eventCounts["snapshot installed"]++
	if want, ok := o.hashes[n.applied]; !ok || want != n.hash {
		return fmt.Errorf("snapshot: %s restored another state at %d", n.id, n.applied)
	}
	return nil
}

// checkLeaders checks election safety, leader completeness and lease exclusivity.
func (o *oracle) checkLeaders(s *sim) error {
	var leased api.VoterID
	for _, n := range s.nodes {
		if !n.up || n.core.role != leader {
			continue
		}
		if err := o.checkNewLeader(n); err != nil {
			return err
		}
		if !n.core.HasLease(s.local(n)) {
			continue
		}
		if leased != "" {
			return fmt.Errorf("lease exclusivity: %s and %s hold a lease at once", leased, n.id)
		}
		leased = n.id
	}
	return nil
}

func (o *oracle) checkNewLeader(n *simNode) error {
	term := n.core.term
	if old, ok := o.leaders[term]; ok {
		if old != n.id {
			return fmt.Errorf("election safety: %s and %s lead term %d", old, n.id, term)
		}
		return nil
	}
	o.leaders[term] = n.id
	o.eventCounts["elected"]++
	for index := n.core.log.offset + 1; index <= o.last; index++ {
		got, ok := n.core.log.term(index)
		if !ok || got != o.committed[index].Term {
			return fmt.Errorf("leader completeness: %s leads term %d without committed entry %d", n.id, term, index)
		}
	}
	return nil
}

// checkConverged checks the end of a run on a healed network.
func (o *oracle) checkConverged(s *sim) error {
	leaders := s.leaders()
	if len(leaders) != 1 || !leaders[0].core.HasLease(s.local(leaders[0])) {
		return fmt.Errorf("no progress: %d leaders", len(leaders))
	}
	lead := leaders[0]
	if lead.applied < o.acked || lead.applied != o.last {
		return fmt.Errorf("no progress: the leader applied %d of %d", lead.applied, o.last)
	}
	for _, m := range lead.core.membership().Members {
		n := s.node(m.ID)
		switch {
		case m.Rejoining || (m.Incarnation != n.incarnation && m.Incarnation != 0):
			return fmt.Errorf("no progress: %s has not rejoined", m.ID)
		case n.applied != o.last || n.hash != lead.hash:
			return fmt.Errorf("no progress: %s applied %d of %d", m.ID, n.applied, o.last)
		}
	}
	return nil
}
