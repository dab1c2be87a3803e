package standin

import (
	"crypto/subtle"
	"encoding/json"
	"fmt"

	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
)

// Paths of the engine interface.
const (
	pathChat        = "/v1/chat/completions"
	pathCompletions = "/v1/completions"
	pathOrders      = "/v1/orders"
	pathCancel      = "/v1/cancel"
)

// maxRequestBody is the maximum size of a request body, in bytes.
const maxRequestBody = 8 << 20

// statusError reports a response with an unexpected status.
type statusError struct {
	status int
	body   string
}

func (e *statusError) Error() string { return fmt.Sprintf("status %d: %s", e.status, e.body) }

// errorBody is the body of an error response in the format of the OpenAI API.
type errorBody struct {
	Error struct {
		Message string `json:"message"`
		Type    string `json:"type"`
	} `json:"error"`
}

// serve handles the requests to all hosts.
func (f *Fleet) serve(ctx *fasthttp.RequestCtx) {
	c, ok := ctx.Conn().(*hostConn)
	if !ok {
		ctx.Error("connection belongs to no host", fasthttp.StatusInternalServerError)
		return
	}
	h := c.host
	<-h.resumedChan()
	if id := ctx.Request.Header.Peek(api.HeaderRequest); len(id) > 0 {
		ctx.Response.Header.SetBytesV(api.HeaderRequest, id)
	}
	if !f.authorized(ctx) {
		refuse(ctx, fasthttp.StatusUnauthorized, "invalid bearer token")
		return
	}
	if h.kind == api.BackendService {
		h.handleService(ctx, c)
		return
	}
	switch string(ctx.Path()) {
	case pathOrders:
		h.handleOrder(ctx)
	case pathCancel:
		h.handleCancel(ctx)
	case pathChat:
		h.handleCompletion(ctx, c, true)
	case pathCompletions:
		h.handleCompletion(ctx, c, false)
	default:
		refuse(ctx, fasthttp.StatusNotFound, "unknown path")
	}
}

func (f *Fleet) authorized(ctx *fasthttp.RequestCtx) bool {
	want := "Bearer " + f.cfg.Token
	got := ctx.Request.Header.Peek(fasthttp.HeaderAuthorization)
	return subtle.ConstantTimeCompare(got, []byte(want)) == 1
}

func refuse(ctx *fasthttp.RequestCtx, status int, message string) {
	var body errorBody
	body.Error.Message = message
	body.Error.Type = "refused"
	ctx.SetStatusCode(status)
	writeJSON(ctx, body)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(raw)
}

// handleCancel handles POST /v1/cancel.
func (h *Host) handleCancel(ctx *fasthttp.RequestCtx) {
	var body struct {
		Request api.RequestID `json:"request"`
	}
	if err := json.Unmarshal(ctx.PostBody(), &body); err != nil || body.Request == "" {
		refuse(ctx, fasthttp.StatusBadRequest, "malformed cancel request")
		return
	}
	h.mu.Lock()
	found := h.engine.cancel(body.Request)
	h.mu.Unlock()
	if !found {
		refuse(ctx, fasthttp.StatusNotFound, "unknown request")
		return
	}
	writeJSON(ctx, api.Empty{})
}
