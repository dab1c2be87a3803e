package consensus_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/control"
	"github.com/crocusway/crocusway/internal/errs"
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
	c.converged(want)
	for _, m := range c.members.Members {
		c.restart(m.ID)
	}
	want = c.proposeMany(20, 25)
	c.converged(want)
}

// synced returns the last index that the member has synced.
func (n *node) synced() uint64 {
	for _, v := range n.server.Status().Voters {
		if v.ID == n.id {
			return v.Match
		}
	}
	return 0
}

func TestServerReplacesCutLeader(t *testing.T) {
	c := newCluster(t, 5)
	c.propose("c0")
	old := c.leader()
	c.net.setCut(old.id, true)
	before := old.synced()
	lost := make(chan error, 1)
	go func() {
		_, err := old.server.Propose(context.Background(), []byte("lost"))
		lost <- err
	}()
	require.Eventually(t, func() bool { return old.synced() > before }, 10*time.Second, time.Millisecond)
	c.until("the old leader steps down", func() bool { return old.server.Status().Leader != old.id })
	c.propose("c1")
	_, err := old.server.Propose(context.Background(), []byte("late"))
	require.True(t, errs.Is(err, errs.NotLeader), "%v", err)
	c.net.setCut(old.id, false)
	c.converged([]string{"c0", "c1"})
	err = <-lost
	require.True(t, errs.Is(err, errs.NotLeader), "%v", err)
	var typed *errs.Error
	require.ErrorAs(t, err, &typed)
	require.Equal(t, "addr-"+string(c.leader().id), typed.Detail)
}

func TestServerLostDiskRejoins(t *testing.T) {
	c := newCluster(t, 3)
	want := c.proposeMany(0, 120)
	lost := c.leader().id
	c.stop(lost)
	n := c.start(lost, t.TempDir(), false)
	incarnation := n.store.Identity().Incarnation
	c.until("the member votes again", func() bool {
		for _, m := range c.leader().server.Membership().Members {
			if m.ID == lost && !m.Learner && m.Incarnation == incarnation {
				return true
			}
		}
		return false
	})
	c.converged(want)
}

func TestServerAddsAndRemovesMembers(t *testing.T) {
	c := newCluster(t, 3)
	want := c.proposeMany(0, 70)
	c.start("v4", t.TempDir(), false)
	c.change(consensus.Change{Kind: consensus.ChangeAddLearner, Member: consensus.Member{ID: "v4", Address: "addr-v4"}})
	c.change(consensus.Change{Kind: consensus.ChangePromote, Member: consensus.Member{ID: "v4"}})
	c.converged(want)
	gone := c.leader().id
	c.change(consensus.Change{Kind: consensus.ChangeRemove, Member: consensus.Member{ID: gone}})
	c.stop(gone)
	want = c.proposeMany(70, 75)
	c.converged(want)
}

// change repeats a membership change until it is accepted.
func (c *cluster) change(change consensus.Change) {
	c.t.Helper()
	c.until("the membership changes: "+string(change.Kind), func() bool {
		n := c.leader()
		done := make(chan error, 1)
		go func() { done <- n.server.ChangeMembers(context.Background(), change) }()
		var err error
		c.until("an answer", func() bool {
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
