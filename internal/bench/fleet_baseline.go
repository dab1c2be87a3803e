package bench

import (
	"slices"
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/group"
)

// sameHostPlanner is the baseline: a broken group waits for the same hosts to
// come back or to be replaced under the same name. It takes no spares, merges
// and releases nothing, and forms groups only of hosts that never had one.
func sameHostPlanner(v api.FleetView, m *group.Memory, p group.Policy, now time.Time) group.Plan {
	members := make(map[api.GroupID][]api.HostID, len(v.Groups))
	placed := make(map[api.ServingGroupName]int)
	for _, g := range v.Groups {
		members[g.ID] = g.Members
		placed[g.ServingGroup]++
	}
	v = hideFreeHosts(v, placed)
	m.Observe(&v, &p, now)
	plan := group.Decide(v, m, p, now)
	plan.Changes = slices.DeleteFunc(plan.Changes, func(c group.Change) bool {
		switch c.Kind {
		case api.GroupReform:
			return !slices.Equal(c.Group.Members, members[c.Group.ID])
		case api.GroupRelease:
			return true
		default:
			return false
		}
	})
	return plan
}

// hideFreeHosts drops hosts without an assignment once every replica was formed.
func hideFreeHosts(v api.FleetView, placed map[api.ServingGroupName]int) api.FleetView {
	for _, sg := range v.ServingGroups {
		if placed[sg.Name] < sg.Replicas {
			return v
		}
	}
	assigned := make(map[api.HostID]bool, len(v.Assignments))
	for _, a := range v.Assignments {
		assigned[a.Host] = true
	}
	v.Hosts = slices.DeleteFunc(slices.Clone(v.Hosts), func(s api.HostStatus) bool {
		return !assigned[s.Announcement.Host]
	})
	return v
}
