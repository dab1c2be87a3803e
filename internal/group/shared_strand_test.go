package group_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

// largeReplicas is the layout of large deployments: 37 hosts a fabric domain, replicas
// of 16 hosts beside replicas of 4.
func largeReplicas(t *testing.T, fabrics ...string) *sharedFleet {
	w := newSharedFleet(t, nil)
	w.publish(2, api.EngineModel{Name: "wide", Hosts: 16, Share: 0.57}, api.EngineModel{Name: "narrow", Hosts: 4, Share: 0.43})
	for _, fabric := range fabrics {
		w.add(fabric, fabric[:1], 37)
	}
	w.run(4 * engineLoadTime)
	requireNoViolation(t, w)
	w.traffic()
	return w
}

// membersOf lists the hosts of the first open replica of a model.
func (w *sharedFleet) membersOf(model string) []*engine {
	head := w.memberOf(model, 0)
	if head == nil {
		return nil
	}
	var out []*engine
	for _, id := range head.members {
		out = append(out, w.byID[id])
	}
	return out
}

// TestSpareIsOfTheLargerReplica replaces the spare of a fabric domain with replicas of
// both sizes by an empty host, and loses a member of a large replica once that has
// loaded: the 15 survivors serve again without a load.
func TestSpareIsOfTheLargerReplica(t *testing.T) {
	w := largeReplicas(t, "a0", "b0", "c0", "c1")
	wide := w.serving("wide")
	lost := w.membersOf("wide")[3]
	for _, e := range w.engines {
		if e.fabric == lost.fabric && e.stage == "" {
			w.kill(e)
		}
	}
	w.run(5 * time.Second)
	w.add(string(lost.fabric), string(lost.domain), 1)
	w.run(2 * engineLoadTime)
	w.kill(lost)
	w.run(6 * time.Second)
	requireNoViolation(t, w)
	require.Equal(t, wide, w.serving("wide"))
}

// TestPairsOfLossesAreCovered loses two members of one large replica at once, in each
// fabric domain that has one.
func TestPairsOfLossesAreCovered(t *testing.T) {
	w := largeReplicas(t, "a0", "a1", "b0", "b1", "c0", "c1")
	wide := w.serving("wide")
	require.GreaterOrEqual(t, wide, 6)
	hit := make(map[api.FabricDomain]bool)
	for _, e := range w.engines {
		if e.stage == api.StageOpen && e.lastUse == "wide" && !hit[e.fabric] {
			hit[e.fabric] = true
			w.kill(w.byID[e.members[3]])
			w.kill(w.byID[e.members[7]])
		}
	}
	w.run(6 * time.Second)
	requireNoViolation(t, w)
	require.Equal(t, wide, w.serving("wide"))
}

// TestStrandedHostsAreCompleted loses members of one large replica, more than there are
// spares. A small replica retires, and the survivors serve again after one load.
func TestStrandedHostsAreCompleted(t *testing.T) {
	for _, lost := range []int{2, 3, 5} {
		w := largeReplicas(t, "a0", "b0", "c0")
		wide, narrow := w.serving("wide"), w.serving("narrow")
		for _, e := range w.membersOf("wide")[1 : 1+lost] {
			w.kill(e)
		}
		w.run(10*time.Second + engineLoadTime)
		requireNoViolation(t, w)
		require.Equal(t, wide, w.serving("wide"), "%d lost", lost)
		require.GreaterOrEqual(t, w.serving("narrow"), narrow-1, "%d lost", lost)
	}
}

// TestRetiringReplicaFinishesItsRequests checks that a retiring replica stays open for
// LeaveDrain.
func TestRetiringReplicaFinishesItsRequests(t *testing.T) {
	w := largeReplicas(t, "a0")
	narrow := w.serving("narrow")
	for _, e := range w.membersOf("wide")[1:7] {
		w.kill(e)
	}
	for range 100 {
		w.run(sharedTick)
		if retiring := w.retiringGroups(t); len(retiring) > 0 {
			require.True(t, retiring[0].Leaving, "entries send nothing new")
			w.run(sharedPolicy().LeaveDrain - 2*sharedTick)
			require.Equal(t, narrow, w.serving("narrow"))
			return
		}
	}
	require.Fail(t, "no replica retires")
}

func (w *sharedFleet) retiringGroups(t *testing.T) []api.Group {
	t.Helper()
	fleet, err := w.service.Fleet(t.Context())
	require.NoError(t, err)
	var out []api.Group
	for _, g := range fleet.Groups {
		if g.Retiring {
			out = append(out, g)
		}
	}
	return out
}

// TestSmallReplicasStayWhereAllAreSmall loses members where no replica is much larger
// than another: nothing retires.
func TestSmallReplicasStayWhereAllAreSmall(t *testing.T) {
	w := newSharedFleet(t, nil)
	sixFabrics(w)
	w.run(4 * engineLoadTime)
	w.traffic()
	for _, e := range w.membersOf("big")[1:3] {
		w.kill(e)
	}
	for range 200 {
		w.run(sharedTick)
		require.Empty(t, w.retiringGroups(t))
	}
}
