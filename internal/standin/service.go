package standin

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
)

// ServiceAnswer is the response body of a plain service.
type ServiceAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	// Run is the number of runs with the same key, or with the same body if there
	// is no key, including this one; 0 for a call that changes nothing.
	Run int `json:"run"`
}

// handleService handles one call of a plain service. Every method other than GET
// and HEAD changes its state.
func (h *Host) handleService(ctx *fasthttp.RequestCtx, conn *hostConn) {
	id := api.RequestID(ctx.Request.Header.Peek(api.HeaderRequest))
	swapID := h.swapPrevious(id)
	incarnation := h.Incarnation()
	running, capacity := h.beginCall()
	defer h.endCall(incarnation)
	answer := ServiceAnswer{
		Service: h.service.Name,
		Path:    string(ctx.Path()),
		Key:     string(ctx.Request.Header.Peek(api.HeaderIdempotencyKey)),
	}
	if !ctx.IsGet() && !ctx.IsHead() {
		answer.Run = h.runService(ctx, answer.Key, Run{Incarnation: incarnation, Concurrent: running, Capacity: capacity})
	}
	if h.fleet.triggersCrash(ctx.PostBody()) || (capacity > 0 && running > capacity) {
		h.crash()
		return
	}
	fault := h.nextFault()
	if !h.serviceWait(h.slowed(h.service.Time) + fault.Delay) {
		_ = conn.Close()
		return
	}
	writeJSON(ctx, answer)
	switch fault.Kind {
	case FaultSwapAnswer:
		ctx.Response.Header.Set(api.HeaderRequest, string(swapID))
	case FaultTruncate:
		body := ctx.Response.Body()
		ctx.Response.SetBodyStream(&truncatedBody{remaining: body[:len(body)/2], conn: conn}, len(body))
	}
}

// runService fills in and records the run and returns the count of its key.
func (h *Host) runService(ctx *fasthttp.RequestCtx, key string, run Run) int {
	body := string(ctx.PostBody())
	run.Request = api.RequestID(ctx.Request.Header.Peek(api.HeaderRequest))
	run.Host = h.id
	run.Key = key
	run.Path = string(ctx.Path())
	run.Body = body
	run.Start = h.fleet.cfg.Clock.Now()
	h.fleet.record.addRun(run)
	if key == "" {
		key = body
	}
	return h.fleet.countRun(h.service.Name, key)
}

// serviceWait sleeps for d, then until the host is not paused. It returns false if
// the host stopped or restarted in the meantime, or if the fleet is closed.
func (h *Host) serviceWait(d time.Duration) bool {
	before := h.Incarnation()
	if d > 0 {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-h.fleet.ctx.Done():
			return false
		}
	}
	select {
	case <-h.resumedChan():
	case <-h.fleet.ctx.Done():
		return false
	}
	return h.Up() && h.Incarnation() == before
}
