package standin

import (
	"encoding/json"
	"slices"

	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
)

// handleOrder answers POST /v1/orders.
func (h *Host) handleOrder(ctx *fasthttp.RequestCtx) {
	var o api.Order
	if err := json.Unmarshal(ctx.PostBody(), &o); err != nil || o.Version != api.AnnouncementVersion {
		ctx.Error("malformed order", fasthttp.StatusBadRequest)
		return
	}
	result := h.apply(o)
	h.fleet.record.addOrder(OrderRun{Order: o, Accepted: result.Accepted, At: h.fleet.cfg.Clock.Now()})
	writeJSON(ctx, result)
}

// apply carries out one order. A host that does not check fencing numbers
// takes any order.
func (h *Host) apply(o api.Order) api.OrderResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	result := api.OrderResult{Host: h.id, Incarnation: h.incarnation, Fencing: h.member.highest}
	if reason := h.refuse(o); reason != "" {
		result.Reason = reason
		return result
	}
	h.member.highest = max(h.member.highest, o.Fencing)
	result.Accepted = true
	result.Fencing = h.member.highest
	if o.Kind == api.OrderRelease {
		h.release(o)
	} else {
		h.assign(o)
	}
	h.due = h.fleet.cfg.Clock.Now()
	return result
}

// refuse returns why an order is refused. The lock is held.
func (h *Host) refuse(o api.Order) string {
	switch {
	case !h.up:
		return "host is down"
	case o.Host != h.id:
		return "order names another host"
	case o.Kind != api.OrderAssign && o.Kind != api.OrderRelease:
		return "unknown kind"
	case h.fleet.cfg.Engine.ChecksFencing && o.Fencing < h.member.highest:
		return "old fencing number"
	case h.fleet.cfg.Engine.ChecksFencing && o.Incarnation != 0 && o.Incarnation != h.incarnation:
		return "order for another incarnation"
	default:
		return ""
	}
}

// release ends the membership and the requests of its generation. The lock is
// held.
func (h *Host) release(o api.Order) {
	if h.member.group != o.Group && h.fleet.cfg.Engine.ChecksFencing {
		return
	}
	h.engine.abort()
	h.member = membership{highest: h.member.highest}
}

// assign begins a membership; requests of an earlier one end. A host that holds the same part of the model
// need not load it again. The lock is held.
func (h *Host) assign(o api.Order) {
	old := h.member
	if old.group == o.Group && old.fencing == o.Fencing {
		return
	}
	h.engine.abort()
	h.member = membership{
		group:   o.Group,
		fencing: o.Fencing,
		rank:    o.Rank,
		members: slices.Clone(o.Members),
		hosts:   h.fleet.known(o.Members),
		model:   o.Model,
		readyAt: h.fleet.cfg.Clock.Now().Add(h.fleet.LoadTime()),
		highest: old.highest,
	}
	if old.model == o.Model && old.rank == o.Rank && len(old.members) == len(o.Members) {
		h.member.readyAt = old.readyAt
	}
}

// complete reports whether every member of the host's group is up, holds the
// same generation and has loaded. It is called without the lock.
func (h *Host) complete() bool {
	h.mu.Lock()
	m := h.member
	h.mu.Unlock()
	if m.group == "" || m.rank != 0 {
		return false
	}
	for _, id := range m.members {
		other := h.fleet.Host(id)
		if other == nil || !other.holds(m.group, m.fencing) {
			return false
		}
	}
	return true
}

// holds reports whether the host has loaded its part of a generation.
func (h *Host) holds(group api.GroupID, fencing api.Fencing) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.up && h.member.group == group && h.member.fencing == fencing &&
		h.loadState(h.fleet.cfg.Clock.Now()) == api.LoadReady
}
