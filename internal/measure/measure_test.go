package measure_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/measure"
	"github.com/crocusway/crocusway/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

// fleet returns a view of 2 ready replicas of 2 hosts, h1 to h4, and the unassigned
// hosts h5 and h6.
func fleet() *api.FleetView {
	v := &api.FleetView{ServingGroups: []api.ServingGroup{{Name: "a", Replicas: 2, HostsPerReplica: 2, Spares: 1}}}
	for i := range 6 {
		a := api.Announcement{Host: api.HostID(fmt.Sprintf("h%d", i+1)), Kind: api.BackendEngine, Fabric: "f", Domain: "d"}
		v.Hosts = append(v.Hosts, api.HostStatus{Announcement: a, Alive: true})
	}
	assign(v, "g1", api.GroupReady, 0, 1)
	assign(v, "g2", api.GroupReady, 2, 3)
	return v
}

// assign forms a group whose hosts are all in its current generation.
func assign(v *api.FleetView, id api.GroupID, phase api.GroupPhase, hosts ...int) {
	g := api.Group{ID: id, ServingGroup: "a", Fabric: "f", Domain: "d", Phase: phase, Fencing: 7}
	for _, h := range hosts {
		a := &v.Hosts[h].Announcement
		a.Group, a.Fencing = id, g.Fencing
		g.Members = append(g.Members, a.Host)
		v.Assignments = append(v.Assignments, api.Assignment{Host: a.Host, Group: id, Fencing: g.Fencing})
	}
	v.Groups = append(v.Groups, g)
}

// releaseFirstGroup removes the first group, its assignments and memberships.
func releaseFirstGroup(v *api.FleetView) {
	for i := range 2 {
		v.Hosts[i].Announcement.Group = ""
	}
	v.Groups, v.Assignments = v.Groups[1:], v.Assignments[2:]
}

func loseFirstHost(v *api.FleetView) { v.Hosts[0].Alive = false }

func TestMeterAfterHostLoss(t *testing.T) {
	for name, tc := range map[string]struct {
		steps []func(v *api.FleetView)
		want  measure.Sample
	}{
		"all groups ready": {want: measure.Sample{}},
		"survivor of a lost member": {
			steps: []func(*api.FleetView){loseFirstHost},
			want:  measure.Sample{Down: 1, Stranded: 1, NotServing: 2},
		},
		"released survivor": {
			steps: []func(*api.FleetView){loseFirstHost, releaseFirstGroup},
			want:  measure.Sample{Down: 1, Stranded: 1, NotServing: 2},
		},
		"released survivor and returned member": {
			steps: []func(*api.FleetView){loseFirstHost, releaseFirstGroup, func(v *api.FleetView) { v.Hosts[0].Alive = true }},
			want:  measure.Sample{Down: 1, Stranded: 2, NotServing: 2},
		},
		"hosts that were never in a group": {
			steps: []func(*api.FleetView){func(v *api.FleetView) { v.Hosts[0].Alive, v.Hosts[1].Alive = false, false }},
			want:  measure.Sample{Down: 1, NotServing: 1},
		},
		"survivor loads in a complete group": {
			steps: []func(*api.FleetView){loseFirstHost, releaseFirstGroup, func(v *api.FleetView) { assign(v, "g3", api.GroupLoading, 1, 4) }},
			want:  measure.Sample{Down: 1, NotServing: 2},
		},
		"load in the new group is aborted": {
			steps: []func(*api.FleetView){
				loseFirstHost, releaseFirstGroup,
				func(v *api.FleetView) { assign(v, "g3", api.GroupLoading, 1, 4) },
				func(v *api.FleetView) { v.Groups, v.Hosts[1].Announcement.Group = v.Groups[:1], "" },
			},
			want: measure.Sample{Down: 1, Stranded: 1, NotServing: 2},
		},
		"new group is lost after all were ready": {
			steps: []func(*api.FleetView){
				loseFirstHost, releaseFirstGroup,
				func(v *api.FleetView) { assign(v, "g3", api.GroupReady, 4, 5) },
				func(v *api.FleetView) { v.Hosts[4].Alive, v.Hosts[5].Alive = false, false },
			},
			want: measure.Sample{Down: 1, NotServing: 0},
		},
		"drained domain is excluded": {
			steps: []func(*api.FleetView){func(v *api.FleetView) {
				v.Domains = []api.Domain{{Name: "d", State: api.DomainDrained}}
			}},
			want: measure.Sample{Down: 2},
		},
		"service host is not an engine host": {
			steps: []func(*api.FleetView){loseFirstHost, releaseFirstGroup, func(v *api.FleetView) {
				v.Hosts[1].Announcement.Kind = api.BackendService
			}},
			want: measure.Sample{Down: 1, NotServing: 1},
		},
	} {
		t.Run(name, func(t *testing.T) {
			v, m := fleet(), measure.Meter{}
			got := m.Observe(v)
			for _, step := range tc.steps {
				step(v)
				got = m.Observe(v)
			}
			require.Equal(t, tc.want, got)
		})
	}
}

// TestStatelessMeterMissesReleasedHost checks that a meter without earlier
// observations does not count a survivor as stranded once the planner releases it
// from its group.
func TestStatelessMeterMissesReleasedHost(t *testing.T) {
	v, m := fleet(), measure.Meter{}
	loseFirstHost(v)
	m.Observe(v)
	releaseFirstGroup(v)
	stateless := measure.Meter{}
	require.Zero(t, stateless.Observe(v).Stranded)
	require.Equal(t, 1, m.Observe(v).Stranded)
}
