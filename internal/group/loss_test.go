package group_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/bench"
)

func TestFormsWholeGroupThroughColdStart(t *testing.T) {
	r := newRig(t, testPolicy(), scribe(1, 4))
	r.add("f1", "d1", 4, true)
	r.step(5 * time.Second)
	require.Equal(t, api.GroupLoading, r.only().Phase)
	r.step(8 * time.Second)
	g := r.only()
	require.Equal(t, api.GroupReady, g.Phase)
	require.Equal(t, "f1-00", g.Address)
	require.False(t, g.Warm)
	r.step(6 * time.Second)
	require.True(t, r.only().Warm)
}

// TestPauseRightAfterResume checks that the full detection bound applies again to a
// member that pauses right after it resumed.
func TestPauseRightAfterResume(t *testing.T) {
	r := newRig(t, testPolicy(), scribe(1, 2))
	r.add("f1", "d1", 2, true)
	r.step(30 * time.Second)
	h := r.host("f1-01")
	r.model.Pause(h)
	r.step(2 * time.Second)
	require.Equal(t, api.GroupReady, r.only().Phase)
	r.resume(h)
	r.model.Pause(h)
	r.step(10 * time.Second)
	require.Equal(t, api.GroupBroken, r.only().Phase)
}

func TestLossOfMember(t *testing.T) {
	const settle = 60 * time.Second
	for name, tc := range map[string]struct {
		hosts, spares int
		fault         func(r *rig)
		// loads counts the loads after the fault.
		loads int
		ready int
		lost  bool
	}{
		"pause within the grace is waited out": {
			hosts: 5,
			fault: func(r *rig) {
				r.model.Pause(r.host("f1-01"))
				r.step(8 * time.Second)
				require.Equal(t, api.GroupBroken, r.only().Phase)
				r.model.Resume(r.host("f1-01"))
			},
			loads: 0, ready: 1,
		},
		"restart within the grace loses the membership": {
			hosts: 4,
			fault: func(r *rig) { r.model.Start(r.host("f1-01")) },
			loads: 4, ready: 1,
		},
		"a spare replaces a dead member": {
			hosts: 5,
			fault: func(r *rig) { r.model.Kill(r.host("f1-01")) },
			loads: 4, ready: 1, lost: true,
		},
		"without a spare the group waits for the host": {
			hosts: 4,
			fault: func(r *rig) {
				r.model.Kill(r.host("f1-01"))
				r.step(20 * time.Second)
				require.Equal(t, 0, r.ready())
				r.model.Start(r.host("f1-01"))
			},
			loads: 4, ready: 1,
		},
		"a second loss right after the repair": {
			hosts: 6,
			fault: func(r *rig) {
				r.model.Kill(r.host("f1-01"))
				r.step(30 * time.Second)
				require.Equal(t, 1, r.ready())
				r.model.Kill(r.host("f1-02"))
			},
			loads: 8, ready: 1, lost: true,
		},
		"a member lost during the load": {
			hosts: 5,
			fault: func(r *rig) {
				r.model.Start(r.host("f1-01"))
				r.step(5 * time.Second)
				require.Equal(t, api.GroupLoading, r.only().Phase)
				r.model.Kill(r.host("f1-02"))
			},
			ready: 1, loads: 8, lost: true,
		},
		"a leaving member is replaced": {
			hosts: 5,
			fault: func(r *rig) {
				r.host("f1-00").Leaving = true
				r.step(2 * time.Second)
				require.True(t, r.only().Leaving)
			},
			ready: 1, loads: 4, lost: true,
		},
		"a warm replica that turns cold is not reloaded": {
			hosts: 4,
			fault: func(r *rig) {
				r.model.TurnCold(r.host("f1-00"), 5*time.Second)
				r.step(2 * time.Second)
				require.False(t, r.only().Warm)
				require.Equal(t, api.GroupReady, r.only().Phase)
			},
			ready: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, testPolicy(), scribe(1, 4))
			r.add("f1", "d1", tc.hosts, true)
			r.step(30 * time.Second)
			require.Equal(t, 1, r.ready())
			before := r.model.Loads
			tc.fault(r)
			r.step(settle)
			require.Equal(t, tc.ready, r.ready())
			require.Equal(t, tc.loads, r.model.Loads-before)
			if tc.lost {
				require.Equal(t, 4, len(r.only().Members))
			}
		})
	}
}

func TestSurvivorsOfTwoBrokenGroupsMerge(t *testing.T) {
	for name, checks := range map[string]bool{"checking": true, "not checking": false} {
		t.Run(name, func(t *testing.T) {
			sg := scribe(2, 4)
			sg.ChecksFencing = checks
			r := newRig(t, testPolicy(), sg)
			r.add("f1", "d1", 8, checks)
			r.step(30 * time.Second)
			require.Equal(t, 2, r.ready())
			for _, g := range r.store.Groups() {
				r.model.Kill(r.model.Host(g.Members[1]))
			}
			r.step(60 * time.Second)
			require.Equal(t, 1, r.ready())
		})
	}
}

// TestSpareCompletesMissingReplica checks that the survivors of a released group form
// a replica with the spare of their fabric domain, once the losses exceed the spares.
func TestSpareCompletesMissingReplica(t *testing.T) {
	sg := scribe(3, 4)
	sg.Spares = 1
	r := newRig(t, testPolicy(), sg)
	r.add("f1", "d1", 13, true)
	r.step(30 * time.Second)
	require.Equal(t, 3, r.ready())
	groups := r.store.Groups()
	for _, g := range groups {
		r.model.Kill(r.model.Host(g.Members[0]))
	}
	r.step(2 * time.Minute)
	require.Equal(t, 2, r.ready(), "10 hosts are left")
	for _, g := range groups[:2] {
		r.model.Start(r.model.Host(g.Members[0]))
	}
	r.step(2 * time.Minute)
	require.Equal(t, 3, r.ready(), "12 hosts are left")
}

// TestReplicasReturnWhenNoHostWasHeard guards against replicas that load again after no
// announcement had reached control, or a new leader, for a minute: the hosts are heard again one
// by one, a spare before the members or after them.
func TestReplicasReturnWhenNoHostWasHeard(t *testing.T) {
	for _, elected := range []bool{false, true} {
		for _, spareFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("elected=%t,spare_first=%t", elected, spareFirst), func(t *testing.T) {
				r := newRig(t, testPolicy(), scribe(2, 4))
				r.add("f1", "d1", 9, true)
				r.step(30 * time.Second)
				require.Equal(t, 2, r.ready())
				before := r.model.Loads
				hosts := make([]*bench.FleetHost, 0, 9)
				for i := range 9 {
					hosts = append(hosts, r.host(fmt.Sprintf("f1-%02d", i)))
					r.model.Pause(hosts[i])
				}
				r.step(time.Second)
				if elected {
					r.rec = r.leader(testPolicy(), nil)
				}
				r.step(time.Minute)
				require.Zero(t, r.ready())
				if spareFirst {
					slices.Reverse(hosts)
				}
				for _, h := range hosts {
					r.resume(h)
					r.step(tick)
				}
				r.step(5 * time.Second)
				require.Equal(t, 2, r.ready())
				require.Equal(t, before, r.model.Loads)
			})
		}
	}
}
