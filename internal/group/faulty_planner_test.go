package group_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/group"
)

// lateOrder lets an order of an older leader reach a host while a new leader
// releases its group and assigns the host to another serving group. It returns
// the first violation that the checker found.
func lateOrder(t *testing.T, horizon time.Duration, checks bool) error {
	p := testPolicy()
	p.OrderHorizon = horizon
	sg := scribe(1, 2)
	sg.ChecksFencing = checks
	r := newRig(t, p, sg)
	r.add("f1", "d1", 2, checks)
	r.run(30 * time.Second)
	g := r.only()
	late := api.Order{Version: 1, Kind: api.OrderAssign, Group: g.ID, Fencing: g.Fencing, Members: g.Members}

	r.rec = r.leader(p, nil)
	other := sg
	other.Name = "ledger"
	r.store.ServingGroups = []api.ServingGroup{other}
	r.run(4 * time.Second)
	r.model.Deliver(r.host("f1-00"), late)
	r.run(40 * time.Second)
	if r.check.err == nil {
		require.Equal(t, 1, r.ready())
		require.Equal(t, api.ServingGroupName("ledger"), r.only().ServingGroup)
	}
	return r.check.err
}

func TestLateOrderOfOlderLeader(t *testing.T) {
	horizon := testPolicy().OrderHorizon
	require.NoError(t, lateOrder(t, horizon, false))
	require.NoError(t, lateOrder(t, 0, true), "a host that checks fencing needs no horizon")
}

func TestLateOrderOfOlderLeaderDetectedWithoutHorizon(t *testing.T) {
	require.ErrorContains(t, lateOrder(t, 0, false), "two groups")
}

// alterPlans returns a planner whose plans are changed before they are applied.
func alterPlans(f func(v api.FleetView, plan *group.Plan)) group.Planner {
	return func(v api.FleetView, m *group.Memory, p group.Policy, now time.Time) group.Plan {
		plan := group.Decide(v, m, p, now)
		f(v, &plan)
		return plan
	}
}

// freeWithoutProof frees releasing hosts immediately.
func freeWithoutProof(v api.FleetView, plan *group.Plan) {
	plan.Changes = nil
	for _, a := range v.Assignments {
		if a.Releasing {
			plan.Changes = append(plan.Changes, group.Change{
				GroupChange: api.GroupChange{Kind: api.GroupFree, Host: a.Host, Fencing: a.Fencing},
			})
		}
	}
}

// readyWithoutAll makes a group ready once its first member is.
func readyWithoutAll(v api.FleetView, plan *group.Plan) {
	for _, g := range v.Groups {
		for _, h := range v.Hosts {
			a := &h.Announcement
			if g.Phase == api.GroupLoading && a.Host == g.Members[0] && a.Group == g.ID && a.Load == api.LoadReady {
				plan.Changes = []group.Change{phaseChange(g, api.GroupReady)}
			}
		}
	}
	for _, c := range plan.Changes {
		if c.Kind == api.GroupSetPhase && c.Group.Phase == api.GroupBroken {
			plan.Changes = nil
		}
	}
}

func phaseChange(g api.Group, phase api.GroupPhase) group.Change {
	c := group.Change{GroupChange: api.GroupChange{Kind: api.GroupSetPhase, Fencing: g.Fencing, Group: g}}
	c.Group.Phase = phase
	return c
}

// repairAcross replaces the last member of a broken group by a free host of
// another fabric domain.
func repairAcross(v api.FleetView, plan *group.Plan) {
	for _, g := range v.Groups {
		if g.Phase != api.GroupBroken {
			continue
		}
		for _, h := range v.Hosts {
			if h.Announcement.Fabric != g.Fabric && h.Announcement.Group == "" {
				reform := g
				reform.Members = append(append([]api.HostID{}, g.Members[:len(g.Members)-1]...), h.Announcement.Host)
				plan.Changes = []group.Change{{
					GroupChange: api.GroupChange{Kind: api.GroupReform, Fencing: g.Fencing, Group: reform},
				}}
			}
		}
	}
}

// releaseReady releases a ready group while another is broken.
func releaseReady(v api.FleetView, plan *group.Plan) {
	broken := false
	for _, g := range v.Groups {
		broken = broken || g.Phase == api.GroupBroken
	}
	for _, g := range v.Groups {
		if broken && g.Phase == api.GroupReady {
			plan.Changes = []group.Change{{
				GroupChange: api.GroupChange{Kind: api.GroupRelease, Fencing: g.Fencing, Group: g},
			}}
		}
	}
}

// ignoreLoadRate plans without the load budget.
func ignoreLoadRate(v api.FleetView, m *group.Memory, p group.Policy, now time.Time) group.Plan {
	p.LoadRate = 0
	return group.Decide(v, m, p, now)
}

func TestCheckerDetectsFaultyPlanners(t *testing.T) {
	budgeted := testPolicy()
	budgeted.LoadRate, budgeted.LoadBurst = 1<<28, 4<<30
	for name, tc := range map[string]struct {
		planner group.Planner
		policy  group.Policy
		// fault precedes the run with the faulty planner.
		fault func(r *rig)
		want  string
	}{
		"reassigned without release proof": {
			planner: alterPlans(freeWithoutProof),
			fault: func(r *rig) {
				r.model.Pause(r.host("f1-00"))
				r.model.Pause(r.host("f2-00"))
				r.store.ServingGroups[0].Replicas = 1
				r.step(5 * time.Second)
			},
			want: "two groups",
		},
		"ready without all members": {
			planner: alterPlans(readyWithoutAll),
			fault: func(r *rig) {
				r.model.Start(r.host("f1-00"))
				r.step(5 * time.Second)
				g := r.store.Group(r.groupOf("f1-00"))
				r.model.Kill(r.model.Host(g.Members[3]))
			},
			want: "partial group",
		},
		"repaired across fabric domains": {
			planner: alterPlans(repairAcross),
			fault:   func(r *rig) { r.model.Kill(r.host("f1-00")) },
			want:    "fabric",
		},
		"release of a ready group": {
			planner: alterPlans(releaseReady),
			fault:   func(r *rig) { r.model.Kill(r.host("f1-00")) },
			want:    "early release",
		},
		"loads beyond the rate": {
			planner: ignoreLoadRate,
			policy:  budgeted,
			fault: func(r *rig) {
				r.model.Start(r.host("f1-00"))
				r.model.Start(r.host("f2-00"))
			},
			want: "budget",
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := tc.policy
			if p.DetectionBound == 0 {
				p = testPolicy()
			}
			run := func(planner group.Planner) error {
				r := newRig(t, p, scribe(2, 4))
				r.add("f1", "d1", 4, true)
				r.add("f2", "d2", 6, true)
				r.step(90 * time.Second)
				require.Equal(t, 2, r.ready())
				tc.fault(r)
				r.rec = r.leader(p, planner)
				r.run(60 * time.Second)
				return r.check.err
			}
			require.ErrorContains(t, run(tc.planner), tc.want)
			require.NoError(t, run(group.Decide))
		})
	}
}

func (r *rig) groupOf(host string) api.GroupID { return r.store.Assignment(api.HostID(host)).Group }

// TestPausedLeaderSendsNoOrders checks that orders decided before a pause of the
// process are not sent when it resumes after OrderTimeout.
func TestPausedLeaderSendsNoOrders(t *testing.T) {
	p := testPolicy()
	r := newRig(t, p, scribe(1, 2))
	r.add("f1", "d1", 2, true)
	r.step(tick)
	r.model.Advance(tick)
	require.NoError(t, r.rec.Reconcile(t.Context(), r.model.View(), r.store))
	queued := r.model.TakeQueue()
	require.NotEmpty(t, queued)
	r.model.Advance(p.OrderTimeout)
	for _, f := range queued {
		f()
	}
	require.Zero(t, r.model.Loads)
}
