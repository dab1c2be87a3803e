package pipeline

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
)

// refuseReadError answers a request that could not be read completely.
func (s *Server) refuseReadError(ctx *fasthttp.RequestCtx, err error) {
	r := &refusal{status: fasthttp.StatusBadRequest, code: "malformed_request", message: "the request could not be read"}
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		r.status = fasthttp.StatusRequestHeaderFieldsTooLarge
		r.code = "header_too_large"
		r.message = "the header exceeds the limit"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		r.status = fasthttp.StatusRequestEntityTooLarge
		r.code = "body_too_large"
		r.message = "the body exceeds the limit"
	case isTimeout(err):
		r.status = fasthttp.StatusRequestTimeout
		r.code = "receive_timeout"
		r.message = "the request took too long to arrive"
	}
	s.writeRefusal(ctx, r, newRequestID(), api.OutcomeNotRun)
	ctx.SetConnectionClose()
}

// isTimeout reports whether an error is a timeout of any kind.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &timeout) && timeout.Timeout())
}
