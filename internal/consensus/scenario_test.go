package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newHealthySim returns a cluster of three led by the first member, without
// clock drift.
func newHealthySim(t *testing.T) *sim {
	s := newSim(faultNone, 3, func(n int) int { return n / 2 })
	require.NoError(t, s.electFirstMember())
	require.Equal(t, leader, s.nodes[0].core.role)
	return s
}

func (s *sim) proposeSome(t *testing.T, n int) {
	for range n {
		require.NoError(t, s.propose("command"))
		require.NoError(t, s.run(2))
	}
}

// compactAt takes a snapshot and keeps no trailing entries for slow members.
func (s *sim) compactAt(i int) {
	n := s.nodes[i]
	snap := n.core.NewSnapshot(encodeSimState(n.applied, n.hash))
	n.disk.Entries = n.disk.Entries[snap.Index-n.disk.Snapshot.Index:]
	n.disk.Snapshot = snap
	n.core.cfg.TrailingEntries = 0
	n.core.Compact(snap)
}

// TestSnapshotReceiverRestarts: a restart loses the received chunks, and the
// leader has to send them again.
func TestSnapshotReceiverRestarts(t *testing.T) {
	s := newHealthySim(t)
	s.nodes[2].up = false
	s.proposeSome(t, 20)
	s.compactAt(0)
	s.start(s.nodes[2])
	for s.nodes[2].core.incoming == nil {
		s.now += simStep
		s.nodes[0].core.Tick(s.local(s.nodes[0]))
		require.NoError(t, s.processReady(s.nodes[0], noCrash))
		for range 8 {
			if len(s.network) > 0 && s.nodes[2].core.incoming == nil {
				require.NoError(t, s.deliver(0, false))
			}
		}
	}
	require.NoError(t, s.deliverOne(MsgSnapshotResponse, 2, 0))
	s.start(s.nodes[2])
	require.NoError(t, s.run(60))
	require.Equal(t, s.nodes[0].applied, s.nodes[2].applied)
}

// TestLostDiskRecoversFromSnapshot: the member rejoins although nothing is
// appended after the snapshot.
func TestLostDiskRecoversFromSnapshot(t *testing.T) {
	s := newHealthySim(t)
	s.proposeSome(t, 20)
	require.NoError(t, s.loseDisk(s.nodes[2]))
	s.compactAt(0)
	require.NoError(t, s.run(200))
	require.NoError(t, s.oracle.checkConverged(s))
	require.True(t, s.nodes[0].core.membership().isVoter(simID(2), 2))
}

// TestUncommittedRemovalOfLeader: a leader that crashed with its own removal
// uncommitted has the longest log, so the others need it to lead again.
func TestUncommittedRemovalOfLeader(t *testing.T) {
	s := newSim(faultNone, 4, func(n int) int { return n / 2 })
	require.NoError(t, s.electFirstMember())
	for i := 1; i < 4; i++ {
		s.disconnect(0, i)
	}
	n := s.nodes[0]
	_, _, err := n.core.ProposeMembership(Change{Kind: ChangeRemove, Member: Member{ID: n.id}})
	require.NoError(t, err)
	require.NoError(t, s.processReady(n, noCrash))
	s.start(n)
	clear(s.blockedLinks)
	s.nodes[3].up = false
	require.NoError(t, s.run(400))
	leaders := s.leaders()
	require.Len(t, leaders, 1)
	require.True(t, leaders[0].core.HasLease(s.local(leaders[0])))
}

// TestFirstEntryIsMembership: a member that starts empty receives the bootstrap
// membership with the log.
func TestFirstEntryIsMembership(t *testing.T) {
	s := newHealthySim(t)
	require.Equal(t, EntryConfig, s.oracle.committed[1].Kind)
}

// TestSnapshotKeepsLongerLog: a snapshot that the log already contains does not
// remove acknowledged entries beyond it.
func TestSnapshotKeepsLongerLog(t *testing.T) {
	s := newHealthySim(t)
	s.proposeSome(t, 5)
	n := s.nodes[1]
	last := n.core.log.last()
	require.NoError(t, s.run(10))
	n.core.log.committed = last - 3
	term, _ := n.core.log.term(last - 2)
	n.core.Step(s.local(n), Message{
		Kind: MsgSnapshot, From: simID(0), To: n.id, Inc: 1, Term: n.core.term,
		Chunk: &SnapshotChunk{Snapshot: Snapshot{Index: last - 2, Term: term, Membership: s.oracle.config}},
	})
	require.Equal(t, last, n.core.log.last())
	require.Nil(t, n.core.receivedSnapshot)
	require.Equal(t, last-2, n.core.log.committed)
}

// TestFailedLeaderIsReplacedInTime bounds the time without a leader by the 3 s
// of a work lease, at every phase of the heartbeat and with clock drift.
func TestFailedLeaderIsReplacedInTime(t *testing.T) {
	const bound = 3 * time.Second
	var longest time.Duration
	for seed := range uint64(500) {
		r := rand.New(rand.NewPCG(seed, 0))
		s := newSim(faultNone, 3, r.IntN)
		for _, n := range s.nodes {
			n.seed += seed * 1000
			s.start(n)
		}
		require.NoError(t, s.run(200+r.IntN(10)))
		require.Len(t, s.leaders(), 1)
		s.leaders()[0].up = false
		start := s.now
		for s.leaseHolder() == nil {
			require.NoError(t, s.run(1))
			require.Less(t, s.now-start, bound, "seed %d", seed)
		}
		longest = max(longest, s.now-start)
	}
	t.Log("longest time without a leader:", longest)
}

// leaseHolder returns the member that holds a leader lease.
func (s *sim) leaseHolder() *simNode {
	for _, n := range s.leaders() {
		if n.core.HasLease(s.local(n)) {
			return n
		}
	}
	return nil
}

// TestReadOfNewLeaderWaits: a leader that has committed nothing in its term
// defers a read until it has.
func TestReadOfNewLeaderWaits(t *testing.T) {
	s := newSim(faultNone, 3, func(n int) int { return n / 2 })
	require.NoError(t, s.run(8))
	n := s.nodes[0]
	s.now += 2 * DefaultElectionMax
	require.NoError(t, s.electWithVotes(0, 1, 2))
	require.Less(t, n.core.log.committed, n.core.termStart)
	require.True(t, n.core.ReadIndex(s.local(n), 7))
	require.NoError(t, s.processReady(n, noCrash))
	require.Zero(t, s.oracle.eventCounts["read served"])
	require.NoError(t, s.run(10))
	require.Equal(t, 1, s.oracle.eventCounts["read served"])
	require.False(t, s.nodes[1].core.ReadIndex(s.local(s.nodes[1]), 8))
}

// TestTransferPrefersReachableVoter: a failed voter may have the whole log too.
func TestTransferPrefersReachableVoter(t *testing.T) {
	s := newHealthySim(t)
	s.nodes[1].up = false
	require.NoError(t, s.run(10))
	target, ok := s.nodes[0].core.transferTarget()
	require.True(t, ok)
	require.Equal(t, simID(2), target)
}
