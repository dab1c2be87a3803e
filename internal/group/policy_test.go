package group_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/group"
)

func ledger(replicas int) api.ServingGroup {
	return api.ServingGroup{
		Name: "ledger", Model: "ledger-8b", Replicas: replicas, HostsPerReplica: 2, ChecksFencing: true, LoadBytes: 1 << 28,
	}
}

func (r *rig) readyOf(sg api.ServingGroupName) int {
	n := 0
	for _, g := range r.store.Groups() {
		if g.Phase == api.GroupReady && g.ServingGroup == sg {
			n++
		}
	}
	return n
}

func (r *rig) readyIn(d api.FailureDomain) int {
	n := 0
	for _, g := range r.store.Groups() {
		if g.Phase == api.GroupReady && g.Domain == d {
			n++
		}
	}
	return n
}

// TestSmallReplicaTakesNoHostsOfLargeOne checks that a broken large group keeps its
// survivors, so that it is complete once its host returns.
func TestSmallReplicaTakesNoHostsOfLargeOne(t *testing.T) {
	r := newRig(t, testPolicy(), scribe(1, 4), ledger(1))
	r.add("f1", "d1", 4, true)
	r.add("f2", "d2", 2, true)
	r.step(30 * time.Second)
	require.Equal(t, 2, r.ready())
	r.model.Kill(r.host("f1-00"))
	r.model.Kill(r.host("f2-00"))
	r.step(5 * time.Minute)
	require.Zero(t, r.ready())
	r.model.Start(r.host("f1-00"))
	r.model.Start(r.host("f2-00"))
	r.step(time.Minute)
	require.Equal(t, 1, r.readyOf("scribe"))
	require.Equal(t, 1, r.readyOf("ledger"))
}

func TestSpreadsOverFailureDomainsAndKeepsSpares(t *testing.T) {
	sg := scribe(6, 2)
	sg.Spares = 1
	sg.Domains = []api.FailureDomain{"d1", "d2"}
	r := newRig(t, testPolicy(), sg)
	for _, d := range []string{"d1", "d2", "d3"} {
		r.add("f-"+d, d, 7, true)
	}
	r.step(time.Minute)
	require.Equal(t, 3, r.readyIn("d1"))
	require.Equal(t, 3, r.readyIn("d2"))
	require.Zero(t, r.readyIn("d3"))

	r.store.ServingGroups[0].Replicas = 8
	r.step(time.Minute)
	require.Equal(t, 6, r.ready(), "the spares stay free")
}

func TestFabricDomainOutage(t *testing.T) {
	for name, power := range map[string]bool{"power": true, "network": false} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testPolicy(), scribe(2, 4))
			r.add("f1", "d1", 4, true)
			r.add("f2", "d2", 4, true)
			r.add("f3", "d3", 4, true)
			r.step(time.Minute)
			failed := r.store.Groups()[0].Fabric
			for _, h := range r.model.Hosts {
				switch {
				case h.Fabric != failed:
				case power:
					r.model.Kill(h)
				default:
					r.model.Pause(h)
				}
			}
			r.step(time.Minute)
			require.Equal(t, 2, r.ready(), "replaced elsewhere")
			for _, h := range r.model.Hosts {
				r.model.Resume(h)
				if !h.Up {
					r.model.Start(h)
				}
			}
			r.step(time.Minute)
			require.Equal(t, 2, r.ready())
			require.Len(t, r.store.Groups(), 2, "the broken group is released")
		})
	}
}

// TestDrainReadiesCapacityElsewhereFirst checks that the groups of a drained domain
// stay until as many as wanted serve elsewhere, and permanently if no host is free.
func TestDrainReadiesCapacityElsewhereFirst(t *testing.T) {
	p := testPolicy()
	p.DrainHold = 0
	r := newRig(t, p, scribe(2, 4))
	r.add("f1", "d1", 8, true)
	r.step(time.Minute)
	require.Equal(t, 2, r.readyIn("d1"))
	r.add("f2", "d2", 8, true)
	r.store.Domains = []api.Domain{{Name: "d1", State: api.DomainDrained}}
	for range 60 {
		r.step(time.Second)
		require.GreaterOrEqual(t, r.ready(), 2)
	}
	require.Zero(t, r.readyIn("d1"))
	require.Equal(t, 2, r.readyIn("d2"))

	r.store.Domains = []api.Domain{
		{Name: "d1", State: api.DomainDrained}, {Name: "d2", State: api.DomainDrained},
	}
	r.step(time.Minute)
	require.Equal(t, 2, r.readyIn("d2"), "nothing is free elsewhere")
}

func TestRestoredDomainReturnsInSteps(t *testing.T) {
	p := testPolicy()
	p.MaxDomainLoads = 2
	r := newRig(t, p, scribe(6, 2))
	r.store.Domains = []api.Domain{{Name: "d1", State: api.DomainDrained}}
	r.add("f1", "d1", 12, true)
	r.step(10 * time.Second)
	require.Empty(t, r.store.Groups())
	r.store.Domains = nil
	for range 60 {
		r.step(time.Second)
		loading := 0
		for _, g := range r.store.Groups() {
			if g.Phase == api.GroupLoading {
				loading++
			}
		}
		require.LessOrEqual(t, loading, 2)
	}
	require.Equal(t, 6, r.ready())
}

// TestFlappingHostIsBackedOff checks that a host that fails repeatedly is replaced by a
// stable one and not used again during its back-off.
func TestFlappingHostIsBackedOff(t *testing.T) {
	r := newRig(t, testPolicy(), scribe(1, 2))
	r.add("f1", "d1", 3, true)
	r.step(30 * time.Second)
	for range 6 {
		r.model.Kill(r.host("f1-00"))
		r.step(5 * time.Second)
		r.model.Start(r.host("f1-00"))
		r.step(5 * time.Second)
	}
	r.step(time.Minute)
	require.Equal(t, 1, r.ready())
	require.NotContains(t, r.only().Members, api.HostID("f1-00"))
}

// TestLeavingMemberIsReplacedElsewhere checks that a group without a spare in its
// fabric domain is replaced as a whole, and released once the other one serves.
func TestLeavingMemberIsReplacedElsewhere(t *testing.T) {
	r := newRig(t, testPolicy(), scribe(1, 4))
	r.add("f1", "d1", 4, true)
	r.step(30 * time.Second)
	r.add("f2", "d2", 4, true)
	r.host("f1-02").Leaving = true
	r.step(time.Minute)
	require.Equal(t, 1, r.readyIn("d2"))
	require.Equal(t, api.FabricDomain("f2"), r.only().Fabric)
}

// TestRepeatedlyPausingMemberIsReplaced checks that repeated pauses lead to a
// replacement: each is within the grace, but together they cost more than a reload.
func TestRepeatedlyPausingMemberIsReplaced(t *testing.T) {
	r := newRig(t, testPolicy(), scribe(1, 2))
	r.add("f1", "d1", 3, true)
	r.step(30 * time.Second)
	for range 5 {
		require.Contains(t, r.only().Members, api.HostID("f1-00"))
		r.model.Pause(r.host("f1-00"))
		r.step(6 * time.Second)
		r.model.Resume(r.host("f1-00"))
		r.step(20 * time.Second)
	}
	require.Equal(t, 1, r.ready())
	require.NotContains(t, r.only().Members, api.HostID("f1-00"))
}

// TestStragglerIsReplaced checks that a spare replaces a member that loads far longer
// than usual.
func TestStragglerIsReplaced(t *testing.T) {
	r := newRig(t, testPolicy(), scribe(1, 2))
	r.add("f1", "d1", 3, true)
	r.step(30 * time.Second)
	require.Equal(t, 1, r.ready())
	slow := r.only().Members[0]
	r.model.Slow(r.model.Host(slow), time.Hour)
	r.model.Start(r.model.Host(slow))
	r.step(3 * time.Minute)
	require.Equal(t, 1, r.ready())
	require.NotContains(t, r.only().Members, slow)
}

// TestLoadsAreOrderedByDowntimePerByte checks that under a small budget the serving
// group with the higher importance per byte loads first.
func TestLoadsAreOrderedByDowntimePerByte(t *testing.T) {
	p := group.DefaultPolicy()
	p.LoadRate, p.LoadBurst = 1<<28, 4<<30
	small := ledger(1)
	r := newRig(t, p, scribe(1, 4), small)
	r.add("f1", "d1", 6, true)
	r.step(5 * time.Second)
	require.Equal(t, api.ServingGroupName("ledger"), r.only().ServingGroup)
	r.step(30 * time.Second)
	require.Equal(t, 2, r.ready())
}

// TestOlderAnnouncementIsIgnored checks that an announcement of an earlier incarnation
// does not count for the current one.
func TestOlderAnnouncementIsIgnored(t *testing.T) {
	r := newRig(t, testPolicy(), scribe(1, 2))
	r.add("f1", "d1", 2, true)
	r.step(30 * time.Second)
	old := r.model.View()
	r.model.Start(r.host("f1-00"))
	r.step(2 * time.Second)
	require.NotEqual(t, api.GroupReady, r.only().Phase)
	v := r.model.View()
	v.Hosts = old.Hosts
	require.NoError(t, r.rec.Reconcile(t.Context(), v, r.store))
	require.NotEqual(t, api.GroupReady, r.only().Phase)
}

// TestNewLeaderWaitsForAnnouncements checks that a leader that has received no
// announcement yet marks no group as broken.
func TestNewLeaderWaitsForAnnouncements(t *testing.T) {
	r := newRig(t, testPolicy(), scribe(1, 2))
	r.add("f1", "d1", 2, true)
	r.step(30 * time.Second)
	r.rec = r.leader(testPolicy(), nil)
	v := r.model.View()
	v.Hosts = nil
	require.NoError(t, r.rec.Reconcile(t.Context(), v, r.store))
	require.Equal(t, api.GroupReady, r.only().Phase)
}
