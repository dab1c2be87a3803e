package standin

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
)

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	// Run counts the runs of the key, or of the body without a key, this one
	// included; 0 for a call that changes nothing.
	Run int `json:"run"`
}

// handleService runs one call of a plain service. Every call other than GET
// and HEAD changes its state.
func (h *Host) handleService(ctx *fasthttp.RequestCtx, conn *hostConn) {
	id := api.RequestID(ctx.Request.Header.Peek(api.HeaderRequest))
	other := h.arrived(id)
	incarnation := h.Incarnation()
	running, borne := h.beginCall()
	defer h.endCall(incarnation)
	answer := ServiceAnswer{
		Service: h.service.Name,
		Path:    string(ctx.Path()),
		Key:     string(ctx.Request.Header.Peek(api.HeaderIdempotencyKey)),
	}
	if !ctx.IsGet() && !ctx.IsHead() {
		answer.Run = h.runService(ctx, answer.Key, Run{Incarnation: incarnation, Concurrent: running, Borne: borne})
	}
	if h.fleet.crashes(ctx.PostBody()) || (borne > 0 && running > borne) {
		h.fall()
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
		ctx.Response.Header.Set(api.HeaderRequest, string(other))
	case FaultTruncate:
		body := ctx.Response.Body()
		ctx.Response.SetBodyStream(&cutBody{left: body[:len(body)/2], conn: conn}, len(body))
	}
}

// runService completes and records the run and counts it by key.
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

// serviceWait sleeps for d and as long as the host is paused. It returns false
// when the host died meanwhile.
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
	case <-h.pauseGate():
	case <-h.fleet.ctx.Done():
		return false
	}
	return h.Up() && h.Incarnation() == before
}
