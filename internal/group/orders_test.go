package group_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/group"
)

// TestEverySizeOfReplica checks that replicas of 1 to 16 hosts become ready.
func TestEverySizeOfReplica(t *testing.T) {
	for n := 1; n <= 16; n++ {
		t.Run(fmt.Sprintf("%d hosts", n), func(t *testing.T) {
			r := newRig(t, testPolicy(), scribe(2, n))
			r.add("f1", "d1", n, true)
			r.add("f2", "d2", n, true)
			r.step(30 * time.Second)
			require.Equal(t, 1, r.readyIn("d1"))
			require.Equal(t, 1, r.readyIn("d2"))
		})
	}
}

// TestNewLeaderContinuesOrders checks that a leader with an empty memory finishes the
// change that an earlier one started, whichever step it had reached.
func TestNewLeaderContinuesOrders(t *testing.T) {
	for ticks := 1; ticks <= 60; ticks += 3 {
		t.Run(fmt.Sprintf("after %d ticks", ticks), func(t *testing.T) {
			r := newRig(t, testPolicy(), scribe(1, 3))
			r.add("f1", "d1", 4, true)
			r.step(20 * time.Second)
			r.model.Start(r.host("f1-00"))
			r.step(time.Duration(ticks) * tick)
			r.model.TakeQueue()
			r.rec = r.leader(testPolicy(), nil)
			r.step(40 * time.Second)
			require.Equal(t, 1, r.ready())
		})
	}
}

// refusingSender is an order sender with one host that refuses every assign order.
type refusingSender struct {
	*rig
	host api.HostID
}

func (s refusingSender) Send(ctx context.Context, address string, o api.Order) (api.OrderResult, error) {
	if o.Host == s.host && o.Kind == api.OrderAssign {
		return api.OrderResult{Host: o.Host, Incarnation: 1, Reason: "busy"}, nil
	}
	return s.model.Send(ctx, address, o)
}

// TestRefusingHostIsReplaced checks that a spare replaces a host that refuses its
// orders.
func TestRefusingHostIsReplaced(t *testing.T) {
	r := newRig(t, testPolicy(), scribe(1, 2))
	r.add("f1", "d1", 3, true)
	r.rec = group.New(group.Config{
		Policy: testPolicy(), Sender: refusingSender{rig: r, host: "f1-00"}, Clock: r.model.Clock, Go: r.model.Go,
	})
	r.step(2 * time.Minute)
	require.Equal(t, 1, r.ready())
	require.NotContains(t, r.only().Members, api.HostID("f1-00"))
}

// TestRestartedHostWithoutFencingWaitsForHorizon checks that a restarted host that does
// not check fencing is freed only after the order horizon: a late order could still
// restore its old membership.
func TestRestartedHostWithoutFencingWaitsForHorizon(t *testing.T) {
	p := testPolicy()
	sg := scribe(1, 2)
	sg.ChecksFencing = false
	r := newRig(t, p, sg)
	r.add("f1", "d1", 2, false)
	r.step(30 * time.Second)
	r.store.ServingGroups = nil
	r.step(tick)
	r.model.Start(r.host("f1-00"))
	r.step(p.OrderHorizon - 2*tick)
	require.NotNil(t, r.store.Assignment("f1-00"))
	r.step(3 * time.Second)
	require.Nil(t, r.store.Assignment("f1-00"))
}

// TestLateOrderDuringLoad checks that a late order that returns a member without
// fencing checks to an older generation is followed by a new generation.
func TestLateOrderDuringLoad(t *testing.T) {
	sg := scribe(1, 2)
	sg.ChecksFencing = false
	r := newRig(t, testPolicy(), sg)
	r.add("f1", "d1", 2, false)
	r.step(30 * time.Second)
	old := r.only()
	r.model.Start(r.host("f1-01"))
	r.step(8 * time.Second)
	loading := r.only()
	require.Equal(t, api.GroupLoading, loading.Phase)
	r.model.Deliver(r.host("f1-00"), api.Order{
		Version: 1, Kind: api.OrderAssign, Group: old.ID, Fencing: old.Fencing, Members: old.Members,
	})
	r.step(time.Minute)
	require.Equal(t, 1, r.ready())
	require.Greater(t, r.only().Fencing, loading.Fencing)
}
