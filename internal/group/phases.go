package group

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// setPhases updates the phase and the attributes of each group from the
// announcements of its members.
func (pl *planner) setPhases() {
	for _, sg := range pl.sgs {
		for _, r := range sg.replicas {
			if r.Phase == api.GroupReady && !r.retired && r.leaving == 0 && pl.intact(r) {
				pl.ready[sg]++
			}
		}
	}
	for _, r := range pl.replicas {
		if r.isShared() {
			pl.evaluateShared(r)
			continue
		}
		switch r.Phase {
		case api.GroupLoading:
			pl.evaluateLoading(r)
		case api.GroupReady:
			pl.evaluateReady(r)
		case api.GroupBroken:
			pl.evaluateBroken(r)
		case api.GroupReleasing:
		}
	}
}

// intact reports whether every member is ready, or unknown to this leader so far.
func (pl *planner) intact(r *replica) bool {
	return r.count[memberReady]+r.count[memberUnknown] == len(r.Members)
}

func (pl *planner) evaluateLoading(r *replica) {
	switch {
	case r.count[memberReady] == len(r.Members):
		pl.makeReady(r, ReasonAllReady)
	case r.count[memberDead] > 0 || pl.overdue(r) || pl.anyMembershipLost(r):
		pl.setPhase(r, api.GroupBroken, ReasonLost)
	}
}

func (pl *planner) evaluateReady(r *replica) {
	if !pl.intact(r) {
		pl.setPhase(r, api.GroupBroken, ReasonLost)
		return
	}
	pl.updateAttributes(r)
}

func (pl *planner) evaluateBroken(r *replica) {
	switch {
	case r.count[memberReady] == len(r.Members):
		if r.sg != nil && (r.retired || pl.ready[r.sg] < r.sg.Replicas) {
			pl.makeReady(r, ReasonReturned)
		}
	case r.count[memberReady]+r.count[memberLoading] == len(r.Members) && !pl.overdue(r):
		pl.setPhase(r, api.GroupLoading, ReasonReturned)
	}
}

func (pl *planner) makeReady(r *replica, reason Reason) {
	pl.updateAttributes(r)
	pl.setPhase(r, api.GroupReady, reason)
	if r.sg != nil && !r.retired && r.leaving == 0 {
		pl.ready[r.sg]++
	}
}

// updateAttributes records the group's attributes that rank 0 announces.
func (pl *planner) updateAttributes(r *replica) {
	h := r.mem.members[0]
	if h.status == nil || r.states[0] != memberReady {
		return
	}
	a := &h.status.Announcement
	if a.Incarnation == 0 {
		// A new leader derived this status from the group; the host has not announced
		// itself yet.
		return
	}
	g := *r.Group
	g.Address, g.Warm = a.Address, a.Warm
	g.BearableLoad, g.WarmLoad = a.BearableLoad, a.WarmLoad
	g.Capabilities = a.Capabilities
	g.Leaving = r.leaving > 0 || g.Retiring
	g.Open = a.Stage == api.StageOpen
	g.HeadIncarnation = a.Incarnation
	g.Release = a.Release
	if sameAttributes(&g, r.Group) {
		return
	}
	pl.change(api.GroupChange{Kind: api.GroupUpdate, Fencing: r.Fencing, Group: g}, ReasonUpdate)
}

func sameAttributes(a, b *api.Group) bool {
	return a.Address == b.Address && a.Warm == b.Warm && a.BearableLoad == b.BearableLoad &&
		a.WarmLoad == b.WarmLoad && a.Leaving == b.Leaving && a.Capabilities == b.Capabilities &&
		a.Open == b.Open && a.HeadIncarnation == b.HeadIncarnation && a.Release == b.Release
}

// minStragglerLimit is the lower bound of the load time limit for stragglers.
const minStragglerLimit = 30 * time.Second

// overdue reports whether members have been loading for longer than the limit.
func (pl *planner) overdue(r *replica) bool {
	if r.count[memberReady] == len(r.Members) {
		return false
	}
	limit := pl.policy.LoadTimeout
	usual := pl.mem.loadTime[r.ServingGroup]
	if usual > 0 && pl.policy.StragglerFactor > 0 {
		straggling := time.Duration(float64(usual) * pl.policy.StragglerFactor)
		limit = min(limit, max(straggling, minStragglerLimit))
	}
	return limit > 0 && pl.now.Sub(r.mem.loadSince) > limit
}

// maxRefusals is the number of refusals of one assign order after which the
// group needs a new generation.
const maxRefusals = 3

// anyMembershipLost reports whether a member no longer holds this generation,
// restarted after it may have accepted it, or keeps refusing it.
func (pl *planner) anyMembershipLost(r *replica) bool {
	for rank, state := range r.states {
		if state == memberBehind && pl.membershipLost(r, rank) {
			return true
		}
	}
	return false
}

func (pl *planner) membershipLost(r *replica, rank int) bool {
	if r.mem.announced[rank] {
		return true
	}
	h := r.mem.members[rank]
	o := &h.order
	if o.kind != api.OrderAssign || o.fencing != r.Fencing {
		return false
	}
	return o.refused >= maxRefusals || o.incarnation != 0 && h.incarnation > o.incarnation
}
