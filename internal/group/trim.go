package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// trim releases groups that the configuration does not want: those of removed
// serving groups, of drained domains once they are replaced, and surplus ones.
func (pl *planner) trim() {
	for _, r := range pl.replicas {
		if r.sg == nil && !r.isShared() && r.Phase != api.GroupReleasing {
			pl.release(r, ReasonRetired)
		}
	}
	for _, sg := range pl.sgs {
		if sg.Share > 0 {
			continue
		}
		pl.trimSurplus(sg)
		pl.trimRetired(sg)
	}
}

// trimSurplus releases what exceeds the wanted number: broken groups first,
// then loading ones, ready ones only when more of them serve than wanted.
func (pl *planner) trimSurplus(sg *servingGroup) {
	var loading, ready, broken []*replica
	for _, r := range sg.replicas {
		switch {
		case r.retired || pl.touched[r.ID]:
		case r.Phase == api.GroupLoading:
			loading = append(loading, r)
		case r.Phase == api.GroupReady:
			ready = append(ready, r)
		case r.Phase == api.GroupBroken:
			broken = append(broken, r)
		}
	}
	serving := pl.ready[sg]
	if serving >= sg.Replicas {
		pl.releaseLast(broken, len(broken))
		pl.releaseLeaving(ready)
	}
	excess := serving + len(loading) - sg.Replicas
	if excess == 1 && len(loading) == 1 && pl.improvesSpread(loading[0]) {
		excess = 0
	}
	pl.releaseLast(loading, excess)
	slices.SortStableFunc(ready, pl.compareKeep(sg))
	pl.releaseLast(ready, serving-sg.Replicas)
}

// releaseLeaving releases groups whose leaving members finished their work.
func (pl *planner) releaseLeaving(ready []*replica) {
	for _, r := range ready {
		if r.leaving > 0 && pl.leaveDrained(r) {
			pl.release(r, ReasonSurplus)
		}
	}
}

// releaseLast releases up to n groups from the end of a list.
func (pl *planner) releaseLast(list []*replica, n int) {
	for i := len(list) - 1; i >= 0 && n > 0; i-- {
		pl.release(list[i], ReasonSurplus)
		n--
	}
}

// compareKeep puts the groups to keep first: those that do not leave, in the
// domains with the fewest replicas, warm ones, the oldest.
func (pl *planner) compareKeep(sg *servingGroup) func(a, b *replica) int {
	return func(a, b *replica) int {
		return cmp.Or(
			cmp.Compare(a.leaving, b.leaving),
			cmp.Compare(sg.byDomain[a.Domain], sg.byDomain[b.Domain]),
			cmp.Compare(cold(a), cold(b)),
			cmp.Compare(a.Fencing, b.Fencing),
		)
	}
}

func cold(r *replica) int {
	if r.Warm {
		return 0
	}
	return 1
}

// trimRetired releases groups in drained or excluded domains and groups of
// another model or size. Ready ones stay until enough others serve.
func (pl *planner) trimRetired(sg *servingGroup) {
	covered := pl.ready[sg] >= sg.Replicas
	for _, r := range sg.replicas {
		switch {
		case !r.retired || pl.touched[r.ID]:
		case r.Phase != api.GroupReady:
			pl.release(r, ReasonRetired)
		case covered && pl.drainHoldElapsed(r):
			pl.release(r, ReasonRetired)
		}
	}
	if !covered {
		pl.releaseOneRetired(sg)
	}
}

// drainHoldElapsed reports whether a ready group of a drained domain was kept for
// the hold time. It is true in other domains.
func (pl *planner) drainHoldElapsed(r *replica) bool {
	since, ok := pl.mem.drained[r.Domain]
	if !ok {
		return true
	}
	return pl.now.Sub(since) >= pl.drainHold()
}

func (pl *planner) drainHold() time.Duration {
	return scaleHold(pl.policy.DrainHold, pl.weights.DomainChange, pl.weights.Stranded)
}

// releaseOneRetired releases one ready group of another model, size or an excluded
// domain, when no hosts are free to replace it and no other replica is loading or
// being released.
func (pl *planner) releaseOneRetired(sg *servingGroup) {
	if pl.place(sg) != nil || sg.releasing > 0 {
		return
	}
	var last *replica
	for _, r := range sg.replicas {
		if r.Phase == api.GroupLoading && !r.retired {
			return
		}
		if r.retired && !pl.drained[r.Domain] && !pl.touched[r.ID] {
			last = r
		}
	}
	if last != nil {
		pl.release(last, ReasonRetired)
	}
}
