package pipeline

import (
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/intake"
)

// refuseReadError answers a request that could not be read completely.
func (s *Server) refuseReadError(ctx *fasthttp.RequestCtx, err error) {
	r := &refusal{status: intake.Status(err), code: intake.Reason(err), message: intake.Message(err)}
	if errors.Is(err, intake.ErrOverloaded) {
		r.retryAfter = intake.RetryAfter
	}
	s.writeRefusal(ctx, r, newRequestID(), api.OutcomeNotRun)
	ctx.SetConnectionClose()
}
