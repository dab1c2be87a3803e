package group_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/group"
)

// restoredDomain returns a fleet with all 4 replicas in d1 and room for 4 in d2, as
// after d2 was drained and activated again.
func restoredDomain(t *testing.T, p group.Policy) *rig {
	r := newRig(t, p, scribe(4, 2))
	r.add("f1", "d1", 8, true)
	r.step(30 * time.Second)
	require.Equal(t, 4, r.readyIn("d1"))
	r.add("f2", "d2", 8, true)
	return r
}

func rebalancing() group.Policy {
	p := testPolicy()
	p.Rebalance = true
	return p
}

func (r *rig) loading() int {
	n := 0
	for _, g := range r.store.Groups() {
		if g.Phase == api.GroupLoading {
			n++
		}
	}
	return n
}

// TestRebalanceMovesOneReplicaAtATime checks that the replacement serves before the
// surplus replica is released, and that nothing moves once the spread is even.
func TestRebalanceMovesOneReplicaAtATime(t *testing.T) {
	r := restoredDomain(t, rebalancing())
	before := r.model.Loads
	for range 240 {
		r.step(500 * time.Millisecond)
		require.GreaterOrEqual(t, r.ready(), 4)
		require.LessOrEqual(t, r.loading(), 1)
	}
	require.Equal(t, 2, r.readyIn("d1"))
	require.Equal(t, 2, r.readyIn("d2"))
	require.Equal(t, 4, r.model.Loads-before, "2 replicas of 2 hosts moved")
}

func TestRebalanceIsOptional(t *testing.T) {
	r := restoredDomain(t, testPolicy())
	r.step(2 * time.Minute)
	require.Equal(t, 4, r.readyIn("d1"))
}

// TestRebalanceYieldsToLoss checks that nothing moves while a replica is missing, and
// that a replacement in progress takes the place of the missing one.
func TestRebalanceYieldsToLoss(t *testing.T) {
	r := restoredDomain(t, rebalancing())
	r.step(2 * time.Second)
	require.Equal(t, 1, r.loading())
	r.model.Kill(r.host("f1-00"))
	r.step(time.Second)
	before := r.model.Loads
	r.step(40 * time.Second)
	require.Equal(t, 4, r.ready())
	require.Zero(t, r.model.Loads-before, "the replacement was loading already")
}

// releaseFirst makes a planner faulty: it releases a replica of the fuller domain
// before the replacement serves.
func releaseFirst(v api.FleetView, plan *group.Plan) {
	for _, c := range plan.Changes {
		if c.Kind == api.GroupForm {
			g := v.Groups[0]
			plan.Changes = append(plan.Changes, group.Change{
				GroupChange: api.GroupChange{Kind: api.GroupRelease, Fencing: g.Fencing, Group: g},
			})
			return
		}
	}
}

func TestRebalanceThatReleasesFirstIsDetected(t *testing.T) {
	r := restoredDomain(t, rebalancing())
	r.rec = r.leader(rebalancing(), alterPlans(releaseFirst))
	r.run(30 * time.Second)
	require.ErrorContains(t, r.check.err, "early release")
}
