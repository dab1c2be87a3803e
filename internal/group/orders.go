package group

import (
	"slices"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// planOrders lists the orders that the view calls for: assign orders to members
// that do not hold their group's generation, release orders to hosts whose
// release is not proven. They follow from the view alone, so that a new leader
// continues them.
func (pl *planner) planOrders() {
	for _, r := range pl.replicas {
		if r.Phase != api.GroupLoading || pl.touched[r.ID] {
			continue
		}
		for rank, state := range r.states {
			if state == memberBehind {
				pl.orderAssign(r, rank)
			}
		}
	}
	for i := range pl.view.Assignments {
		a := &pl.view.Assignments[i]
		switch r := pl.byID[a.Group]; {
		case !a.Releasing || pl.released(a):
		case r != nil && r.isShared():
			pl.orderLeave(pl.mem.hosts[a.Host], r)
		default:
			pl.orderRelease(a)
		}
	}
	for _, r := range pl.replicas {
		for _, h := range r.mem.members {
			// An assigned host that is released got its order above.
			if slices.Contains(pl.held[h.id], r) && (h.assign == nil || !h.assign.Releasing) {
				pl.orderLeave(h, r)
			}
		}
	}
}

// orderLeave orders a host to leave the first shared replica of which it may be a member: an earlier
// one whose head may serve, or else r.
func (pl *planner) orderLeave(h *host, r *replica) {
	if h.status == nil || h.stale || h.incarnation == 0 || !isAlive(h.status, pl.policy) {
		return
	}
	for _, held := range pl.held[h.id] {
		if !pl.isAway(held, h) {
			r = held
			break
		}
	}
	if pl.isAway(r, h) || !pl.orderDue(h, api.OrderRelease, r.Fencing) {
		return
	}
	o := api.Order{Kind: api.OrderRelease, Group: r.ID, Fencing: r.Fencing, ReleasedFencing: r.Previous}
	if s := &h.status.Announcement; s.Group == r.ID {
		o.ReleasedFencing = s.Fencing
	}
	pl.order(h, o)
}

func (pl *planner) orderAssign(r *replica, rank int) {
	h := r.mem.members[rank]
	if h.assign == nil || h.assign.Releasing || h.assign.Group != r.ID {
		return
	}
	if len(pl.held[h.id]) > 0 || !pl.orderDue(h, api.OrderAssign, r.Fencing) {
		return
	}
	pl.order(h, api.Order{
		Kind:        api.OrderAssign,
		Group:       r.ID,
		Fencing:     r.Fencing,
		Incarnation: h.incarnation,
		Rank:        rank,
		Members:     r.Members,
		Model:       r.Model,
	})
}

func (pl *planner) orderRelease(a *api.Assignment) {
	h := pl.mem.hosts[a.Host]
	if h.status == nil || h.stale || !isAlive(h.status, pl.policy) {
		return
	}
	early := h.release.acked && !pl.checksFencing(h) && pl.now.Before(pl.horizon(h))
	if early || !pl.orderDue(h, api.OrderRelease, a.Fencing) {
		return
	}
	o := api.Order{Kind: api.OrderRelease, Group: a.Group, Fencing: a.Fencing}
	if s := &h.status.Announcement; s.Group == a.Group {
		o.ReleasedFencing = s.Fencing
	} else if r := pl.byID[a.Group]; r != nil {
		o.ReleasedFencing = r.Previous
	}
	pl.order(h, o)
}

func (pl *planner) order(h *host, o api.Order) {
	o.Version = api.AnnouncementVersion
	o.Host = h.status.Announcement.Host
	pl.plan.Orders = append(pl.plan.Orders, Directive{Address: h.status.Announcement.Address, Order: o})
}

// orderDue reports whether an order has not been sent yet or is due for a retry.
func (pl *planner) orderDue(h *host, kind api.OrderKind, f api.Fencing) bool {
	o := &h.order
	if o.kind != kind || o.fencing != f {
		return true
	}
	return pl.now.Sub(o.sent) >= pl.policy.OrderRetry
}

// released reports whether a membership has provably ended.
//
// A host that checks fencing numbers proves it by acknowledging the release, or
// by announcing a number at least as high: it refuses every older order from
// then on. For a host that does not, an order of an older leader could still
// arrive and restore the membership; its acknowledgement counts only if it comes
// from the current incarnation and answers a release sent after the order horizon.
func (pl *planner) released(a *api.Assignment) bool {
	if r := pl.byID[a.Group]; r != nil && r.isShared() {
		return pl.releasedShared(a)
	}
	h := pl.mem.hosts[a.Host]
	if h.status == nil || h.stale {
		return false
	}
	r := &h.release
	if pl.checksFencing(h) {
		s := &h.status.Announcement
		announced := s.Fencing >= a.Fencing && s.Group != a.Group
		return announced || r.acked && r.fencing == a.Fencing
	}
	return r.acked && r.fencing == a.Fencing &&
		!r.ackSent.Before(pl.horizon(h)) &&
		r.ackIncarnation == h.incarnation
}

// checksFencing reports whether a releasing host refuses old fencing numbers. Both
// its serving group and its announcement must state it.
func (pl *planner) checksFencing(h *host) bool {
	if h.assign == nil || !h.status.Announcement.ChecksFencing {
		return false
	}
	r := pl.byID[h.assign.Group]
	return r != nil && r.sg != nil && r.sg.ChecksFencing
}

// horizon is when no order with an older number than the release can arrive any
// more. It counts from the release, from the last assign order of this leader and
// from the return of a silent host, which may have received a delayed order then.
func (pl *planner) horizon(h *host) time.Time {
	from := h.release.seen
	for _, t := range []time.Time{h.order.lastAssign, h.aliveSince} {
		if t.After(from) {
			from = t
		}
	}
	return from.Add(pl.policy.OrderHorizon)
}
