package group

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/crocusway/crocusway/internal/api"
)

// stops lists the groups that end or no longer take new work.
func (f *forecast) stops() []api.Consequence {
	kept := make(map[api.GroupID]bool, len(f.after.Groups))
	for i := range f.after.Groups {
		kept[f.after.Groups[i].ID] = true
	}
	drainedBefore, drainedAfter := drainedDomains(f.before.Domains), drainedDomains(f.after.Domains)
	out := make([]api.Consequence, 0, len(f.before.Groups))
	for i := range f.before.Groups {
		g := &f.before.Groups[i]
		effect := fmt.Sprintf("stops and frees %d hosts", len(g.Members))
		switch {
		case g.Phase == api.GroupReleasing:
			continue
		case !kept[g.ID]:
		case drainedAfter[g.Domain] && !drainedBefore[g.Domain]:
			effect = "takes no new work and stays loaded, because no other hosts can replace it"
		default:
			continue
		}
		out = append(out, api.Consequence{
			Kind:    api.ConsequenceStop,
			Subject: string(g.ID),
			Detail:  fmt.Sprintf("%s group of %s in %s %s", g.Phase, g.ServingGroup, g.Domain, effect),
		})
	}
	sortConsequences(out)
	return out
}

func drainedDomains(list []api.Domain) map[api.FailureDomain]bool {
	out := make(map[api.FailureDomain]bool, len(list))
	for _, d := range list {
		out[d.Name] = d.State == api.DomainDrained
	}
	return out
}

func (f *forecast) moves() []api.Consequence {
	before := make(map[api.HostID]api.GroupID, len(f.before.Assignments))
	for _, a := range f.before.Assignments {
		before[a.Host] = a.Group
	}
	var out []api.Consequence
	for i := range f.after.Groups {
		g := &f.after.Groups[i]
		var moved, joined int
		for _, id := range g.Members {
			switch old, ok := before[id]; {
			case !ok:
				joined++
			case old != g.ID:
				moved++
			}
		}
		if moved+joined == 0 {
			continue
		}
		out = append(out, api.Consequence{
			Kind:    api.ConsequenceMove,
			Subject: string(g.ServingGroup),
			Detail:  fmt.Sprintf("a replica in %s takes %d free hosts and %d hosts of other groups", g.Fabric, joined, moved),
		})
	}
	sortConsequences(out)
	return out
}

// capacity gives the replicas of each serving group by failure domain.
func (f *forecast) capacity() []api.Consequence {
	x := f.index()
	domains := f.domains()
	var out []api.Consequence
	for _, sg := range x.sgs {
		for _, d := range domains {
			if !sg.allows(d) {
				continue
			}
			detail := fmt.Sprintf("replicas left: %d", sg.byDomain[d])
			if x.drained[d] {
				detail = "replicas left: 0, the domain is drained"
			}
			out = append(out, api.Consequence{
				Kind:    api.ConsequenceCapacity,
				Subject: string(sg.Name) + "/" + string(d),
				Detail:  detail,
			})
		}
	}
	return out
}

func (f *forecast) index() *index {
	mem := NewMemory()
	mem.Observe(&f.after, &f.policy, f.now)
	return newIndex(&f.after, mem, &f.policy, f.now)
}

func (f *forecast) domains() []api.FailureDomain {
	var out []api.FailureDomain
	for i := range f.after.Hosts {
		a := &f.after.Hosts[i].Announcement
		if a.Kind == api.BackendEngine {
			out = append(out, a.Domain)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (f *forecast) unmet() []api.Consequence {
	x := f.index()
	var out []api.Consequence
	for _, sg := range x.sgs {
		placed := 0
		for _, n := range sg.byDomain {
			placed += n
		}
		missing := sg.Replicas - placed
		if missing > 0 {
			out = append(out, api.Consequence{
				Kind:    api.ConsequenceUnmet,
				Subject: string(sg.Name),
				Detail:  fmt.Sprintf("%d of %d replicas cannot be placed: %s", missing, sg.Replicas, f.unmetReason(x, sg)),
			})
		}
	}
	return out
}

func (f *forecast) unmetReason(x *index, sg *servingGroup) string {
	if !f.settled {
		return "they follow one by one as others stop"
	}
	free, best, drained := 0, 0, 0
	for _, fab := range x.fabrics {
		switch {
		case x.drained[fab.domain]:
			drained++
		case sg.allows(fab.domain):
			free += len(fab.free)
			best = max(best, len(fab.free))
		}
	}
	parts := []string{fmt.Sprintf("%d hosts are free, at most %d in one fabric domain, and a replica takes %d",
		free, best, sg.HostsPerReplica)}
	if sg.Spares > 0 {
		parts = append(parts, fmt.Sprintf("%d spares are kept in each fabric domain", sg.Spares))
	}
	if drained > 0 {
		parts = append(parts, fmt.Sprintf("%d fabric domains are drained", drained))
	}
	return strings.Join(parts, "; ")
}

// fencing states how hosts of each named serving group are reassigned.
func (f *forecast) fencing(in api.Intent) []api.Consequence {
	out := make([]api.Consequence, 0, len(in.ServingGroups))
	for i := range in.ServingGroups {
		sg := &in.ServingGroups[i]
		detail := "hosts are reassigned once they acknowledge their release"
		if !sg.ChecksFencing {
			detail = fmt.Sprintf("hosts do not check fencing numbers: they are reassigned at the earliest %s after their release", f.policy.OrderHorizon)
		}
		out = append(out, api.Consequence{Kind: api.ConsequenceFencing, Subject: string(sg.Name), Detail: detail})
	}
	return out
}

func sortConsequences(list []api.Consequence) {
	slices.SortStableFunc(list, func(a, b api.Consequence) int {
		return cmp.Or(strings.Compare(a.Subject, b.Subject), strings.Compare(a.Detail, b.Detail))
	})
}
