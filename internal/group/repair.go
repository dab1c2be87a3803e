package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// repair is one broken group, or one ready group with a leaving member, whose
// lost members are to be replaced.
type repair struct {
	*replica
	// replace are the ranks that need another host.
	replace []int
	// inBackoff is the number of those ranks whose host returns after its back-off.
	inBackoff int
	score     float64
	// satisfied is set when enough hosts are free or being released.
	satisfied bool
	// donor is set when the hosts of the group go to another one.
	donor bool
}

// job is one load for which hosts are available and that waits for the budget.
type job struct {
	score  float64
	change Change
	domain api.FailureDomain
}

// planRepairs claims free hosts for broken groups by urgency, then lets groups
// that lack hosts give theirs to more urgent ones of the same fabric domain.
func (pl *planner) planRepairs() {
	for _, r := range pl.replicas {
		pl.considerRepair(r)
	}
	slices.SortStableFunc(pl.repairs, compareRepairs)
	pl.countStable()
	for _, rep := range pl.repairs {
		pl.claimFree(rep)
	}
	for _, rep := range pl.repairs {
		pl.claimPending(rep)
	}
	for _, rep := range pl.repairs {
		pl.claimDonors(rep)
	}
}

// compareRepairs orders by downtime ended per byte, the most first, then the groups
// with the fewest members to replace.
func compareRepairs(a, b *repair) int {
	return cmp.Or(
		cmp.Compare(b.score, a.score),
		cmp.Compare(len(a.replace), len(b.replace)),
		byName(a.replica, b.replica),
	)
}

func (pl *planner) considerRepair(r *replica) {
	if r.sg == nil || r.isShared() || r.retired || pl.touched[r.ID] {
		return
	}
	if r.Phase == api.GroupReady {
		pl.considerLeaving(r)
		return
	}
	if r.Phase != api.GroupBroken || r.count[memberUnknown] > 0 {
		return
	}
	if r.count[memberReady] == len(r.Members) {
		return
	}
	rep, waiting := pl.assess(r)
	if waiting > 0 && pl.keepWaiting(rep, waiting) {
		pl.counted[r.sg]++
		return
	}
	pl.repairs = append(pl.repairs, rep)
}

// assess finds the ranks of a broken group that need a host, and how many of
// them a silent member may still fill.
func (pl *planner) assess(r *replica) (rep *repair, waiting int) {
	rep = &repair{replica: r, score: pl.score(r.sg, pl.weights.Downtime)}
	for rank := range r.Members {
		switch pl.memberNeed(r, rank) {
		case needNothing, needOrder:
			continue
		case needWait:
			waiting++
		case needBackoff:
			rep.inBackoff++
		case needReplacement:
		}
		rep.replace = append(rep.replace, rank)
	}
	return rep, waiting
}

// keepWaiting reports whether a group waits for the grace of silent members to
// end. A reload is certain once another member is lost permanently; then only a
// lack of free hosts is a reason to wait.
func (pl *planner) keepWaiting(rep *repair, waiting int) bool {
	certain := rep.count[memberBehind] > 0 || len(rep.replace) > waiting
	f := pl.byFabric[rep.Fabric]
	return !certain || f == nil || len(f.free) < len(rep.replace)
}

// maxSilentFailures is the failure count, which is reset after
// Policy.FailureResetAfter, from which a silent member is replaced without a grace.
const maxSilentFailures = 5

// need is what a rank needs for the group to be complete again.
type need uint8

const (
	needNothing need = iota
	// needOrder is met by an order of a new generation to the same host.
	needOrder
	// needWait may be met by a silent member within its grace.
	needWait
	// needBackoff is met by the same host after its back-off.
	needBackoff
	needReplacement
)

func (pl *planner) memberNeed(r *replica, rank int) need {
	h := r.mem.members[rank]
	if h.status == nil {
		return needReplacement
	}
	if h.status.Announcement.Leaving {
		return needReplacement
	}
	switch r.states[rank] {
	case memberDead:
		if h.failures >= maxSilentFailures {
			return needReplacement
		}
		if pl.now.Sub(pl.lostSince(r, h)) < pl.grace(r) || pl.areHostsReturning(r) {
			return needWait
		}
		return needReplacement
	case memberLoading:
		if pl.overdue(r) {
			return needReplacement
		}
	case memberBehind:
		return pl.behindNeed(h)
	case memberReady, memberUnknown:
	}
	return needNothing
}

// areHostsReturning reports whether silent hosts of the group's fabric domain are being heard
// again. Hosts announce themselves one by one, and a spare may be the first of them.
func (pl *planner) areHostsReturning(r *replica) bool {
	f := pl.byFabric[r.Fabric]
	return f != nil && !f.returnedAt.IsZero() && pl.now.Sub(f.returnedAt) < pl.policy.SettleTime
}

func (pl *planner) behindNeed(h *host) need {
	switch {
	case pl.usable(h):
		return needOrder
	case pl.now.Before(h.backoffUntil(pl.policy)):
		return needBackoff
	default:
		return needReplacement
	}
}

// considerLeaving plans the replacement of members that leave, once they had
// time to finish their work.
func (pl *planner) considerLeaving(r *replica) {
	if r.leaving == 0 {
		return
	}
	if !pl.leaveDrained(r) {
		pl.counted[r.sg]++
		return
	}
	rep := &repair{replica: r, score: pl.score(r.sg, pl.weights.Downtime)}
	for rank, h := range r.mem.members {
		if !h.leavingSince.IsZero() {
			rep.replace = append(rep.replace, rank)
		}
	}
	pl.repairs = append(pl.repairs, rep)
}

// leaveDrained reports whether each leaving member had time to finish its work.
func (pl *planner) leaveDrained(r *replica) bool {
	for _, h := range r.mem.members {
		if !h.leavingSince.IsZero() && pl.now.Sub(h.leavingSince) < pl.policy.LeaveDrain {
			return false
		}
	}
	return true
}

// grace is how long the group waits for a silent member. Waiting costs at most
// the grace, an unnecessary reload the whole load time: the grace is a share of
// the usual load time, so that a group waits longer before a slower reload.
func (pl *planner) grace(r *replica) time.Duration {
	share := time.Duration(float64(pl.mem.loadTime[r.ServingGroup]) * pl.policy.GraceShare)
	return min(max(share, pl.policy.Grace), max(pl.policy.MaxGrace, pl.policy.Grace))
}

// lostSince is when a view first showed a member as silent, or when the group
// entered its phase if no view did.
func (pl *planner) lostSince(r *replica, h *host) time.Time {
	if h.deadSince.IsZero() {
		return r.mem.phaseSince
	}
	return h.deadSince
}

// score is the downtime that a load ends per byte, weighted.
func (pl *planner) score(sg *servingGroup, weight float64) float64 {
	return sg.importance() * weight / float64(max(sg.loadBytes(), 1))
}

// wanted reports whether the serving group lacks a replica that this repair
// restores. Broken groups beyond that are not repaired.
func (pl *planner) wanted(rep *repair) bool {
	return pl.counted[rep.sg] < rep.sg.Replicas
}

func (pl *planner) claimFree(rep *repair) {
	f := pl.byFabric[rep.Fabric]
	if f == nil || len(f.free) < len(rep.replace) || !pl.wanted(rep) {
		return
	}
	members := slices.Clone(rep.Members)
	for i, id := range f.take(len(rep.replace)) {
		members[rep.replace[i]] = id
	}
	pl.satisfy(rep)
	g := *rep.Group
	g.Members, g.Phase = members, api.GroupLoading
	g.Address, g.Warm, g.Leaving = "", false, false
	g.BearableLoad, g.WarmLoad = 0, 0
	pl.jobs = append(pl.jobs, job{
		score:  rep.score,
		domain: rep.Domain,
		change: Change{
			GroupChange: api.GroupChange{Kind: api.GroupReform, Fencing: rep.Fencing, Group: g},
			Reason:      ReasonRepair,
			Bytes:       rep.sg.loadBytes(),
		},
	})
}

func (pl *planner) satisfy(rep *repair) {
	rep.satisfied = true
	pl.counted[rep.sg]++
}

// claimPending reserves free hosts and hosts being released for a group.
func (pl *planner) claimPending(rep *repair) {
	f := pl.byFabric[rep.Fabric]
	if rep.satisfied || rep.donor || f == nil || !pl.wanted(rep) {
		return
	}
	missing := len(rep.replace) - rep.inBackoff
	if len(f.free)+f.pending < missing {
		return
	}
	fromFree := min(missing, len(f.free))
	f.take(fromFree)
	f.pending -= missing - fromFree
	pl.satisfy(rep)
}

// claimDonors releases less urgent broken groups of the same fabric domain when
// their survivors complete this one.
func (pl *planner) claimDonors(rep *repair) {
	f := pl.byFabric[rep.Fabric]
	if rep.satisfied || rep.donor || f == nil || rep.Phase != api.GroupBroken || !pl.wanted(rep) {
		return
	}
	missing := len(rep.replace) - rep.inBackoff - len(f.free) - f.pending
	donors, gained := pl.findDonors(rep, missing)
	if gained < missing {
		return
	}
	for _, d := range donors {
		d.donor = true
		pl.release(d.replica, ReasonMerge)
	}
	f.pending += gained
	pl.claimPending(rep)
}

// findDonors picks the least urgent broken groups until they have enough hosts.
func (pl *planner) findDonors(rep *repair, missing int) ([]*repair, int) {
	var donors []*repair
	gained := 0
	for i := len(pl.repairs) - 1; i >= 0 && gained < missing; i-- {
		d := pl.repairs[i]
		if d == rep {
			break
		}
		if d.Fabric != rep.Fabric || d.satisfied || d.donor || d.Phase != api.GroupBroken {
			continue
		}
		if !mayTake(rep.sg, d.sg) {
			continue
		}
		if n := pl.survivors(d.replica); n > 0 {
			donors = append(donors, d)
			gained += n
		}
	}
	return donors, gained
}

// mayTake reports whether hosts of a broken group may go to a replica of the
// taker. A smaller replica would leave the fabric domain without room for the
// larger one when its hosts return, so that takes a higher importance.
func mayTake(taker, donor *servingGroup) bool {
	return taker.HostsPerReplica >= donor.HostsPerReplica || taker.importance() > donor.importance()
}

// irreparable reports whether the hosts of a group may go to new groups: it cannot
// be repaired and its hold time has elapsed.
func (pl *planner) irreparable(rep *repair) bool {
	if rep.satisfied || rep.donor || rep.Phase != api.GroupBroken {
		return false
	}
	hold := scaleHold(pl.policy.Hold, pl.weights.Downtime, pl.weights.Stranded)
	return pl.now.Sub(rep.mem.phaseSince) >= pl.grace(rep.replica)+hold
}
