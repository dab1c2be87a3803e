package pipeline

import (
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
)

// refuseBroken answers a request that could not be read whole.
func (s *Server) refuseBroken(ctx *fasthttp.RequestCtx, err error) {
	r := &refusal{status: fasthttp.StatusBadRequest, code: "malformed_request", message: "the request could not be read"}
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &small):
		r.status = fasthttp.StatusRequestHeaderFieldsTooLarge
		r.code = "header_too_large"
		r.message = "the header exceeds the limit"
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		r.status = fasthttp.StatusRequestEntityTooLarge
		r.code = "body_too_large"
		r.message = "the body exceeds the limit"
	case errors.As(err, &timeout) && timeout.Timeout():
		r.status = fasthttp.StatusRequestTimeout
		r.code = "receive_timeout"
		r.message = "the request took too long to arrive"
	}
	s.writeRefusal(ctx, r, newRequestID(), api.OutcomeNotRun)
	ctx.SetConnectionClose()
}
