package group

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/crocusway/crocusway/internal/api"
)

// planForms claims free hosts for missing replicas. Repairs have already claimed
// theirs, and the configured spares stay free.
func (pl *planner) planForms() {
	order := slices.Clone(pl.sgs)
	slices.SortStableFunc(order, func(a, b *servingGroup) int {
		return cmp.Or(
			cmp.Compare(b.importance(), a.importance()),
			cmp.Compare(b.HostsPerReplica, a.HostsPerReplica),
		)
	})
	for _, sg := range order {
		if sg.Share <= 0 {
			pl.formMissing(sg)
		}
	}
}

func (pl *planner) formMissing(sg *servingGroup) {
	missing := sg.Replicas - pl.counted[sg]
	moved := pl.retiredReady(sg)
	for n := missing; n > 0; n-- {
		weight := pl.weights.Downtime
		if n <= moved {
			weight = pl.weights.DomainChange
		}
		if !pl.form(sg, pl.score(sg, weight)) {
			pl.dissolve(sg)
			return
		}
	}
}

// dissolve releases groups that cannot be repaired, in one fabric domain where
// their survivors suffice for a replica of the serving group. Elsewhere they
// stay together, so that they are complete once the silent members return.
func (pl *planner) dissolve(sg *servingGroup) {
	for _, f := range pl.fabrics {
		if pl.drained[f.domain] || !sg.allows(f.domain) {
			continue
		}
		missing := sg.HostsPerReplica - pl.surplus(f, sg)
		if f.pending >= missing {
			f.pending -= missing
			return
		}
		if pl.dissolveIn(f, sg, missing-f.pending) {
			return
		}
	}
}

func (pl *planner) dissolveIn(f *fabric, sg *servingGroup, missing int) bool {
	var donors []*repair
	for i := len(pl.repairs) - 1; i >= 0 && missing > 0; i-- {
		rep := pl.repairs[i]
		if rep.Fabric == f.name && pl.irreparable(rep) && mayTake(sg, rep.sg) {
			donors = append(donors, rep)
			missing -= pl.survivors(rep.replica)
		}
	}
	if missing > 0 {
		return false
	}
	for _, rep := range donors {
		rep.donor = true
		pl.release(rep.replica, ReasonIrreparable)
	}
	return len(donors) > 0
}

// countStable counts the replicas that need no repair and no replacement.
func (pl *planner) countStable() {
	for _, sg := range pl.sgs {
		for _, r := range sg.replicas {
			if !r.retired && !pl.touched[r.ID] && r.isShared() || !r.retired && !r.isShared() && pl.stable(r) {
				pl.counted[sg]++
			}
		}
	}
}

func (pl *planner) stable(r *replica) bool {
	switch r.Phase {
	case api.GroupLoading:
		return true
	case api.GroupReady:
		return r.leaving == 0
	case api.GroupBroken:
		returned := pl.touched[r.ID] && r.count[memberDead]+r.count[memberBehind] == 0
		return returned || r.count[memberUnknown] > 0
	default:
		return false
	}
}

// retiredReady is the number of ready replicas that are retired, as in drained
// domains.
func (pl *planner) retiredReady(sg *servingGroup) int {
	n := 0
	for _, r := range sg.replicas {
		if r.retired && r.Phase == api.GroupReady {
			n++
		}
	}
	return n
}

// form claims the hosts of one new replica.
func (pl *planner) form(sg *servingGroup, score float64) bool {
	f := pl.place(sg)
	if f == nil {
		return false
	}
	if sg.byFabric[f.name] == 0 {
		f.reserve += sg.Spares
	}
	members := f.take(sg.HostsPerReplica)
	sg.byDomain[f.domain]++
	sg.byFabric[f.name]++
	g := api.Group{
		ID:           pl.newID(sg),
		ServingGroup: sg.Name,
		Model:        sg.Model,
		Fabric:       f.name,
		Domain:       f.domain,
		Members:      members,
		Phase:        api.GroupLoading,
	}
	pl.jobs = append(pl.jobs, job{
		score:  score,
		domain: f.domain,
		change: Change{
			GroupChange: api.GroupChange{Kind: api.GroupForm, Group: g},
			Reason:      ReasonForm,
			Bytes:       sg.loadBytes(),
		},
	})
	return true
}

// newID derives a group's name from the revision that the plan is based on, which
// makes it unique.
func (pl *planner) newID(sg *servingGroup) api.GroupID {
	pl.formed++
	return api.GroupID(fmt.Sprintf("%s-%d-%d", sg.Name, pl.view.Revision, pl.formed))
}

// place picks the fabric domain of a new replica: in the failure domain with
// the fewest replicas of the serving group, one that keeps room for the largest
// replicas, and among those the one with the largest surplus.
func (pl *planner) place(sg *servingGroup) *fabric {
	var best *fabric
	for _, f := range pl.fabrics {
		if f.service != sg.Service || pl.drained[f.domain] || !sg.allows(f.domain) || pl.surplus(f, sg) < sg.HostsPerReplica {
			continue
		}
		if best == nil || pl.better(sg, f, best) {
			best = f
		}
	}
	return best
}

func (pl *planner) better(sg *servingGroup, f, best *fabric) bool {
	return cmp.Or(
		cmp.Compare(sg.byDomain[f.domain], sg.byDomain[best.domain]),
		cmp.Compare(pl.largeReplicasDisplaced(f, sg), pl.largeReplicasDisplaced(best, sg)),
		cmp.Compare(pl.surplus(best, sg), pl.surplus(f, sg)),
	) < 0
}

// largeReplicasDisplaced is the number of replicas of the largest size that no
// longer fit into a fabric domain once the serving group places one there.
func (pl *planner) largeReplicasDisplaced(f *fabric, sg *servingGroup) int {
	size := pl.largest
	left := pl.surplus(f, sg)
	return left/size - (left-sg.HostsPerReplica)/size
}

// surplus is the number of free hosts beyond the spares. Spares replace lost
// hosts, so each silent host reduces the reserve by one.
func (pl *planner) surplus(f *fabric, sg *servingGroup) int {
	reserve := f.reserve
	if sg.byFabric[f.name] == 0 {
		reserve += sg.Spares
	}
	return len(f.free) - max(reserve-f.silent, 0)
}

// startLoads admits jobs within the budget of the weight store, the most
// downtime ended per byte first. A load that the budget delays also delays those
// after it, so that small loads cannot starve it.
func (pl *planner) startLoads() {
	slices.SortStableFunc(pl.jobs, func(a, b job) int { return cmp.Compare(b.score, a.score) })
	tokens := pl.mem.budget.tokens
	loads, byDomain := pl.loading()
	for _, j := range pl.jobs {
		if pl.policy.MaxLoads > 0 && loads >= pl.policy.MaxLoads {
			return
		}
		if pl.policy.MaxDomainLoads > 0 && byDomain[j.domain] >= pl.policy.MaxDomainLoads {
			continue
		}
		if !affordable(tokens, pl.policy, j.change.Bytes) {
			return
		}
		tokens -= float64(j.change.Bytes)
		loads++
		byDomain[j.domain]++
		pl.plan.Changes = append(pl.plan.Changes, j.change)
	}
}

// loading counts the loads in progress.
func (pl *planner) loading() (int, map[api.FailureDomain]int) {
	n := 0
	byDomain := make(map[api.FailureDomain]int)
	for _, r := range pl.replicas {
		if r.Phase == api.GroupLoading || r.count[memberLoading] > 0 {
			n++
			byDomain[r.Domain]++
		}
	}
	return n, byDomain
}
