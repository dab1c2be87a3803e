package standin

import (
	"encoding/json"
	"slices"

	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
)

// handleOrder handles POST /v1/orders.
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

// apply executes one order. A host that does not check fencing numbers accepts
// orders with any fencing number and incarnation.
func (h *Host) apply(o api.Order) api.OrderResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	result := api.OrderResult{Host: h.id, Incarnation: h.incarnation, Fencing: h.member.highestFencing}
	if reason := h.rejectReason(o); reason != "" {
		result.Reason = reason
		return result
	}
	h.member.highestFencing = max(h.member.highestFencing, o.Fencing)
	result.Accepted = true
	result.Fencing = h.member.highestFencing
	if o.Kind == api.OrderRelease {
		h.release(o)
	} else {
		h.assign(o)
	}
	h.due = h.fleet.cfg.Clock.Now()
	return result
}

// rejectReason returns why an order is rejected, or "" if it is accepted. The
// caller holds h.mu.
func (h *Host) rejectReason(o api.Order) string {
	switch {
	case !h.up:
		return "host is down"
	case o.Host != h.id:
		return "order is addressed to another host"
	case o.Kind != api.OrderAssign && o.Kind != api.OrderRelease:
		return "unknown kind of order"
	case h.fleet.cfg.Engine.ChecksFencing && o.Fencing < h.member.highestFencing:
		return "stale fencing number"
	case h.fleet.cfg.Engine.ChecksFencing && o.Incarnation != 0 && o.Incarnation != h.incarnation:
		return "order is for another incarnation"
	default:
		return ""
	}
}

// release ends the membership and aborts the requests of its generation. The
// caller holds h.mu.
func (h *Host) release(o api.Order) {
	if h.member.group != o.Group && h.fleet.cfg.Engine.ChecksFencing {
		return
	}
	h.engine.abort()
	h.member = membership{highestFencing: h.member.highestFencing}
}

// assign starts a membership and aborts the requests of the previous one. A host
// that had the same model and rank in a group of the same size does not load again.
// The caller holds h.mu.
func (h *Host) assign(o api.Order) {
	old := h.member
	if old.group == o.Group && old.fencing == o.Fencing {
		return
	}
	h.engine.abort()
	h.member = membership{
		group:          o.Group,
		fencing:        o.Fencing,
		rank:           o.Rank,
		members:        slices.Clone(o.Members),
		hosts:          h.fleet.hostsByID(o.Members),
		model:          o.Model,
		readyAt:        h.fleet.cfg.Clock.Now().Add(h.fleet.LoadTime()),
		highestFencing: old.highestFencing,
	}
	if old.model == o.Model && old.rank == o.Rank && len(old.members) == len(o.Members) {
		h.member.readyAt = old.readyAt
	}
}

// groupComplete reports whether the host is rank 0 of a group and every member is
// up, in the same generation and loaded. The caller must not hold h.mu.
func (h *Host) groupComplete() bool {
	h.mu.Lock()
	m := h.member
	h.mu.Unlock()
	if m.group == "" || m.rank != 0 {
		return false
	}
	for _, id := range m.members {
		other := h.fleet.Host(id)
		if other == nil || !other.hasLoaded(m.group, m.fencing) {
			return false
		}
	}
	return true
}

// hasLoaded reports whether the host is up and has loaded the model for a
// generation of a group.
func (h *Host) hasLoaded(group api.GroupID, fencing api.Fencing) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.up && h.member.group == group && h.member.fencing == fencing &&
		h.loadState(h.fleet.cfg.Clock.Now()) == api.LoadReady
}
