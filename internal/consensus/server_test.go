package consensus_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/control"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/storage"
)

var _ control.Log = (*consensus.Server)(nil)

func (c *cluster) proposeMany(from, to int) []string {
	want := make([]string, 0, to)
	for i := range to {
		command := fmt.Sprintf("c%d", i)
		want = append(want, command)
		if i >= from {
			c.propose(command)
		}
	}
	return want
}

func TestServerCommitsAndRestarts(t *testing.T) {
	c := newCluster(t, 3)
	want := c.proposeMany(0, 20)
	c.requireConverged(want)
	for _, m := range c.members.Members {
		c.restart(m.ID)
	}
	want = c.proposeMany(20, 25)
	c.requireConverged(want)
}

// syncedIndex returns the last index that the member has synced.
func (n *node) syncedIndex() uint64 {
	for _, v := range n.server.Status().Voters {
		if v.ID == n.id {
			return v.Match
		}
	}
	return 0
}

func TestServerReplacesIsolatedLeader(t *testing.T) {
	c := newCluster(t, 5)
	c.propose("c0")
	old := c.leader()
	c.net.setIsolated(old.id, true)
	before := old.syncedIndex()
	lost := make(chan error, 1)
	go func() {
		_, err := old.server.Propose(context.Background(), []byte("lost"))
		lost <- err
	}()
	require.Eventually(t, func() bool { return old.syncedIndex() > before }, 10*time.Second, time.Millisecond)
	c.advanceUntil("the old leader steps down", func() bool { return old.server.Status().Leader != old.id })
	c.propose("c1")
	_, err := old.server.Propose(context.Background(), []byte("late"))
	require.True(t, errs.Is(err, errs.NotLeader), "%v", err)
	c.net.setIsolated(old.id, false)
	c.requireConverged([]string{"c0", "c1"})
	err = <-lost
	require.True(t, errs.Is(err, errs.NotLeader), "%v", err)
	var typed *errs.Error
	require.ErrorAs(t, err, &typed)
	require.Equal(t, "addr-"+string(c.leader().id), typed.Detail)
}

func TestServerLostDiskRejoins(t *testing.T) {
	for name, bootstrap := range map[string]bool{"plain": false, "bootstrap option left on": true} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 3)
			want := c.proposeMany(0, 120)
			lost := c.leader().id
			c.stop(lost)
			n := c.start(lost, t.TempDir(), bootstrap)
			c.advanceUntil("the member votes again", func() bool {
				incarnation := n.store.Identity().Incarnation
				for _, m := range c.leader().server.Members() {
					if m.ID == lost && !m.Learner && m.Incarnation == incarnation {
						return incarnation > consensus.BootstrapIncarnation
					}
				}
				return false
			})
			c.requireConverged(want)
			c.restart(lost)
			c.propose("last")
			c.requireConverged(append(want, "last"))
		})
	}
}

func TestServerAddsAndRemovesMembers(t *testing.T) {
	c := newCluster(t, 3)
	want := c.proposeMany(0, 70)
	c.start("v4", t.TempDir(), false)
	c.change(consensus.Change{Kind: consensus.ChangeAddLearner, Member: consensus.Member{ID: "v4", Address: "addr-v4"}})
	c.change(consensus.Change{Kind: consensus.ChangePromote, Member: consensus.Member{ID: "v4"}})
	c.requireConverged(want)
	removed := c.leader().id
	c.change(consensus.Change{Kind: consensus.ChangeRemove, Member: consensus.Member{ID: removed}})
	c.stop(removed)
	want = c.proposeMany(70, 75)
	c.requireConverged(want)
}

// TestUnresponsiveLearnerIsNotPromoted adds a member that never answers to a
// log so short that the allowed lag covers all of it.
func TestUnresponsiveLearnerIsNotPromoted(t *testing.T) {
	c := newCluster(t, 3)
	c.propose("c0")
	unresponsive := consensus.Member{ID: "v4", Address: "addr-v4", Incarnation: 5}
	c.change(consensus.Change{Kind: consensus.ChangeAddLearner, Member: unresponsive})
	c.propose("c1")
	err := c.leader().server.ChangeMembers(t.Context(), consensus.Change{Kind: consensus.ChangePromote, Member: unresponsive})
	require.Equal(t, errs.Unavailable, errs.CodeOf(err), "%v", err)
}

// change repeats a membership change until it is accepted.
func (c *cluster) change(change consensus.Change) {
	c.t.Helper()
	c.advanceUntil("the membership changes: "+string(change.Kind), func() bool {
		n := c.leader()
		done := make(chan error, 1)
		go func() { done <- n.server.ChangeMembers(context.Background(), change) }()
		var err error
		c.advanceUntil("an answer", func() bool {
			select {
			case err = <-done:
				return true
			default:
				return false
			}
		})
		return err == nil || errs.Is(err, errs.Conflict) || errs.Is(err, errs.NotFound)
	})
}

func TestServerReadBarrier(t *testing.T) {
	c := newCluster(t, 3)
	c.propose("c0")
	lead := c.leader()
	require.NoError(t, lead.server.ReadBarrier(context.Background()))
	for id, n := range c.nodes {
		if id == lead.id {
			continue
		}
		err := n.server.ReadBarrier(context.Background())
		require.True(t, errs.Is(err, errs.NotLeader), "%v", err)
	}
}

// failingDisk fails every sync once it is broken.
type failingDisk struct {
	storage.OS
	broken atomic.Bool
}

type failingFile struct {
	storage.File
	disk *failingDisk
}

func (d *failingDisk) Create(name string) (storage.File, error) {
	f, err := d.OS.Create(name)
	return failingFile{f, d}, err
}

func (f failingFile) Sync() error {
	if f.disk.broken.Load() {
		return syscall.EIO
	}
	return f.File.Sync()
}

func TestServerStopsWhenItsDiskFails(t *testing.T) {
	disks := map[api.VoterID]storage.FS{}
	broken := map[api.VoterID]*failingDisk{}
	for i := range 3 {
		id := api.VoterID(fmt.Sprintf("v%d", i+1))
		broken[id] = &failingDisk{}
		disks[id] = broken[id]
	}
	c := newClusterWithDisks(t, 3, disks)
	c.propose("c0")
	failed := c.leader()
	broken[failed.id].broken.Store(true)
	_, err := failed.server.Propose(context.Background(), []byte("doubtful"))
	require.True(t, errs.Is(err, errs.Timeout), "%v", err)
	<-failed.server.Done()
	require.ErrorIs(t, failed.server.Err(), syscall.EIO)
	require.ErrorContains(t, failed.server.Err(), failed.dir)
	require.False(t, failed.server.Status().Leading)
	_, err = failed.server.Propose(context.Background(), []byte("late"))
	require.True(t, errs.Is(err, errs.Unavailable), "%v", err)
	require.Error(t, failed.server.ReadBarrier(context.Background()))
	c.advanceUntil("another leader", func() bool { return c.leader().id != failed.id })
	c.propose("c1")
}

func TestServerResigns(t *testing.T) {
	c := newCluster(t, 3)
	c.propose("c0")
	old := c.leader()
	c.advanceUntil("the leader resigns", func() bool { return old.server.Resign(context.Background()) == nil })
	require.False(t, old.server.Status().Leading)
	c.advanceUntil("another leader", func() bool { return c.leader().id != old.id })
	c.propose("c1")
	c.requireConverged([]string{"c0", "c1"})
}

// TestLargeCommandsAreCompacted bounds the memory of the log by the size of its
// commands, not only by their number.
func TestLargeCommandsAreCompacted(t *testing.T) {
	c := newCluster(t, 3)
	c.snapshotEntries, c.snapshotBytes = 1<<20, 4000
	for _, m := range c.members.Members {
		c.restart(m.ID)
	}
	large := strings.Repeat("x", 500)
	for range 20 {
		c.propose(large)
	}
	c.advanceUntil("every member has taken snapshots", func() bool {
		for _, n := range c.nodes {
			names, err := os.ReadDir(n.dir)
			require.NoError(t, err)
			if !slices.ContainsFunc(names, func(e os.DirEntry) bool {
				return strings.HasPrefix(e.Name(), "snapshot-") && e.Name() > "snapshot-0000000000000000.snap"
			}) {
				return false
			}
		}
		return true
	})
}

// TestLateBootstrapIsIgnored: a folder that was created without the bootstrap
// option still counts as one of a lost disk.
func TestLateBootstrapIsIgnored(t *testing.T) {
	c := newCluster(t, 3)
	c.propose("c0")
	dir := t.TempDir()
	c.start("v4", dir, false)
	c.stop("v4")
	n := c.start("v4", dir, true)
	require.Empty(t, n.server.Members())
	require.Greater(t, n.store.Identity().Incarnation, consensus.BootstrapIncarnation)
}

// TestCommandsCommitDuringSnapshotEncoding commits while a snapshot is encoded,
// and expects the snapshot and the later commands after a restart.
func TestCommandsCommitDuringSnapshotEncoding(t *testing.T) {
	c := newCluster(t, 1)
	n := c.nodes["v1"]
	blocked := n.sm.blockNextEncoding()
	c.proposeMany(0, int(c.snapshotEntries))
	resume := <-blocked
	want := c.proposeMany(int(c.snapshotEntries), int(c.snapshotEntries)+10)
	close(resume)
	require.NoError(t, n.server.TakeSnapshot(context.Background()))
	c.restart("v1")
	c.requireConverged(want)
}

// silenceOf returns for how long a member has not answered the leader.
func silenceOf(leader *node, id api.VoterID) time.Duration {
	for _, m := range leader.server.Members() {
		if m.ID == id {
			return m.Silence
		}
	}
	return 0
}

// A member counted as silent after its leader alone had been frozen.
func TestSilenceIsMeasuredAgainstTheQuorum(t *testing.T) {
	c := newCluster(t, 3)
	c.propose("x")
	leader := c.leader()
	var cut, other api.VoterID
	for id := range c.nodes {
		switch {
		case id == leader.id:
		case cut == "":
			cut = id
		default:
			other = id
		}
	}
	frozen := consensus.DefaultElectionMin / 2
	c.clock.Advance(frozen)
	c.advance()
	require.Less(t, silenceOf(leader, cut), frozen)
	require.Less(t, silenceOf(leader, other), frozen)
	c.net.setIsolated(cut, true)
	c.advanceUntil("the cut member is silent", func() bool { return silenceOf(leader, cut) > consensus.DefaultElectionMax })
	require.Less(t, silenceOf(leader, other), 3*consensus.DefaultHeartbeat)
	c.net.setIsolated(cut, false)
	c.advanceUntil("it answers again", func() bool { return silenceOf(leader, cut) < 3*consensus.DefaultHeartbeat })
	require.Zero(t, silenceOf(leader, leader.id))
}

// A new leader counted the silence of the leader that was lost only from its own election.
func TestSilenceOfALostLeaderSpansTheElection(t *testing.T) {
	c := newCluster(t, 3)
	c.propose("x")
	lost := c.leader().id
	c.stop(lost)
	next := c.leader()
	require.GreaterOrEqual(t, silenceOf(next, lost), consensus.DefaultElectionMin)
}
