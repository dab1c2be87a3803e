package pipeline

import (
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
)

// overflowConns is the number of connections beyond Settings.MaxConns that are
// accepted to receive a regular refusal. Further ones get the HTTP library's bare
// 503 before anything of a request is read.
const overflowConns = 128

// limitConns refuses the first request of each connection beyond the limit and
// closes the connection. Connections accepted within the limit stay open.
func (s *Server) limitConns(connections func() int, next fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if ctx.ConnRequestNum() > 1 || connections() <= s.cfg.Settings.MaxConns {
			next(ctx)
			return
		}
		r := unavailable("too_many_connections", "this entry has as many connections as it takes", nil)
		r.handOver = true
		s.writeRefusal(ctx, r, newRequestID(), api.OutcomeNotRun)
	}
}
