package measure

import (
	"github.com/crocusway/crocusway/internal/api"
)

// fleet indexes a view for one sample.
type fleet struct {
	view *api.FleetView
	// alive holds the alive engine hosts in domains that are not drained.
	alive   map[api.HostID]*api.Announcement
	drained map[api.FailureDomain]bool
	// groupStates maps each host to the state of its group, except for groups that are
	// releasing or in a drained domain.
	groupStates map[api.HostID]groupState
	ready       map[api.ServingGroupName]int
}

func newFleet(v *api.FleetView) *fleet {
	f := &fleet{
		view:        v,
		alive:       make(map[api.HostID]*api.Announcement, len(v.Hosts)),
		drained:     make(map[api.FailureDomain]bool, len(v.Domains)),
		groupStates: make(map[api.HostID]groupState, len(v.Assignments)),
		ready:       make(map[api.ServingGroupName]int, len(v.ServingGroups)),
	}
	for _, d := range v.Domains {
		f.drained[d.Name] = d.State == api.DomainDrained
	}
	for i := range v.Hosts {
		a := &v.Hosts[i].Announcement
		if v.Hosts[i].Alive && a.Kind == api.BackendEngine && !f.drained[a.Domain] {
			f.alive[a.Host] = a
		}
	}
	for i := range v.Groups {
		f.addGroup(&v.Groups[i])
	}
	return f
}

func (f *fleet) addGroup(g *api.Group) {
	if g.Phase == api.GroupReleasing || f.drained[g.Domain] {
		return
	}
	state := f.state(g)
	if state == groupServing {
		f.ready[g.ServingGroup]++
	}
	for _, id := range g.Members {
		f.groupStates[id] = state
	}
}

func (f *fleet) state(g *api.Group) groupState {
	for _, id := range g.Members {
		a := f.alive[id]
		if a == nil || a.Group != g.ID || a.Fencing != g.Fencing {
			return groupIncomplete
		}
	}
	if g.Phase == api.GroupReady {
		return groupServing
	}
	return groupLoading
}

// missing returns the number of wanted replicas that are not serving and the number
// of hosts that they need.
func (f *fleet) missing() (replicas, hosts int) {
	for i := range f.view.ServingGroups {
		sg := &f.view.ServingGroups[i]
		n := max(sg.Replicas-f.ready[sg.Name], 0)
		replicas += n
		hosts += n * sg.HostsPerReplica
	}
	return replicas, hosts
}

// loading returns the number of hosts in complete groups that are not ready yet.
func (f *fleet) loading() int {
	n := 0
	for _, state := range f.groupStates {
		if state == groupLoading {
			n++
		}
	}
	return n
}

// notServing counts the alive hosts that are not in a ready group. In each fabric
// domain, as many unassigned hosts as it keeps spares are not counted.
func (f *fleet) notServing() int {
	assigned := make(map[api.HostID]struct{}, len(f.view.Assignments))
	for i := range f.view.Assignments {
		assigned[f.view.Assignments[i].Host] = struct{}{}
	}
	spares := f.spares()
	n := 0
	for id, a := range f.alive {
		state, member := f.groupStates[id]
		if member && state == groupServing {
			continue
		}
		if _, ok := assigned[id]; !ok && spares[a.Fabric] > 0 {
			spares[a.Fabric]--
			continue
		}
		n++
	}
	return n
}

// spares returns the number of spare hosts in each fabric domain, summed over the
// serving groups with a replica in it.
func (f *fleet) spares() map[api.FabricDomain]int {
	type placement struct {
		fabric       api.FabricDomain
		servingGroup api.ServingGroupName
	}
	wanted := make(map[api.ServingGroupName]int, len(f.view.ServingGroups))
	for i := range f.view.ServingGroups {
		wanted[f.view.ServingGroups[i].Name] = f.view.ServingGroups[i].Spares
	}
	seen := make(map[placement]struct{})
	spares := make(map[api.FabricDomain]int)
	for i := range f.view.Groups {
		g := &f.view.Groups[i]
		p := placement{fabric: g.Fabric, servingGroup: g.ServingGroup}
		if _, ok := seen[p]; ok {
			continue
		}
		seen[p] = struct{}{}
		spares[g.Fabric] += wanted[g.ServingGroup]
	}
	return spares
}
