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

// fleet is 2 whole replicas of 2 hosts, h1 to h4, and the free hosts h5 and h6.
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

// assign forms a group of hosts that hold its generation.
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

// letGo drops the first group and its memberships.
func letGo(v *api.FleetView) {
	for i := range 2 {
		v.Hosts[i].Announcement.Group = ""
	}
	v.Groups, v.Assignments = v.Groups[1:], v.Assignments[2:]
}

func lose(v *api.FleetView) { v.Hosts[0].Alive = false }

func TestMeterFollowsOneLoss(t *testing.T) {
	for name, tc := range map[string]struct {
		steps []func(v *api.FleetView)
		want  measure.Sample
	}{
		"all serve": {want: measure.Sample{}},
		"the survivor of a lost member": {
			steps: []func(*api.FleetView){lose},
			want:  measure.Sample{Down: 1, Stranded: 1, NotServing: 2},
		},
		"a survivor that was let go": {
			steps: []func(*api.FleetView){lose, letGo},
			want:  measure.Sample{Down: 1, Stranded: 1, NotServing: 2},
		},
		"a survivor let go, and a member that returns": {
			steps: []func(*api.FleetView){lose, letGo, func(v *api.FleetView) { v.Hosts[0].Alive = true }},
			want:  measure.Sample{Down: 1, Stranded: 2, NotServing: 2},
		},
		"free hosts that no group had": {
			steps: []func(*api.FleetView){func(v *api.FleetView) { v.Hosts[0].Alive, v.Hosts[1].Alive = false, false }},
			want:  measure.Sample{Down: 1, NotServing: 1},
		},
		"the survivor loads in a whole group": {
			steps: []func(*api.FleetView){lose, letGo, func(v *api.FleetView) { assign(v, "g3", api.GroupLoading, 1, 4) }},
			want:  measure.Sample{Down: 1, NotServing: 2},
		},
		"that load is given up": {
			steps: []func(*api.FleetView){
				lose, letGo,
				func(v *api.FleetView) { assign(v, "g3", api.GroupLoading, 1, 4) },
				func(v *api.FleetView) { v.Groups, v.Hosts[1].Announcement.Group = v.Groups[:1], "" },
			},
			want: measure.Sample{Down: 1, Stranded: 1, NotServing: 2},
		},
		"nothing is missing any more": {
			steps: []func(*api.FleetView){
				lose, letGo,
				func(v *api.FleetView) { assign(v, "g3", api.GroupReady, 4, 5) },
				func(v *api.FleetView) { v.Hosts[4].Alive, v.Hosts[5].Alive = false, false },
			},
			want: measure.Sample{Down: 1, NotServing: 0},
		},
		"a drained domain takes no work": {
			steps: []func(*api.FleetView){func(v *api.FleetView) {
				v.Domains = []api.Domain{{Name: "d", State: api.DomainDrained}}
			}},
			want: measure.Sample{Down: 2},
		},
		"a service is no accelerator host": {
			steps: []func(*api.FleetView){lose, letGo, func(v *api.FleetView) {
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

// TestMeterWithoutMemoryIsEvaded: a meter that forgets what it saw lets a
// planner hide the survivor by letting it go.
func TestMeterWithoutMemoryIsEvaded(t *testing.T) {
	v, m := fleet(), measure.Meter{}
	lose(v)
	m.Observe(v)
	letGo(v)
	forgetful := measure.Meter{}
	require.Zero(t, forgetful.Observe(v).Stranded)
	require.Equal(t, 1, m.Observe(v).Stranded)
}
