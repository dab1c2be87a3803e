package pipeline

import (
	"context"

	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
)

// quarantine refuses requests that have crashed replicas, and marks suspects,
// which then run alone.
type quarantine struct{ *Server }

func (f quarantine) apply(c *call) error {
	if !c.isModel() {
		return nil
	}
	q, ok := c.snapshot.Quarantine(c.fingerprint)
	if !ok {
		return nil
	}
	return f.judge(c, q)
}

// judge applies the state of the call's fingerprint.
func (s *Server) judge(c *call, q api.Quarantine) error {
	if q.UntilUnixMillis > unixMillis(s.cfg.Clock.Now()) {
		return &refusal{
			status:  fasthttp.StatusUnprocessableEntity,
			code:    "request_quarantined",
			message: "requests with this content crashed the backend servers that ran them",
		}
	}
	c.alone = q.Deaths > 0 && q.UntilUnixMillis == 0
	return nil
}

// reportSuspect tells control that the replica died under the call, and
// applies the answer to a retry.
func (s *Server) reportSuspect(c *call, t target) error {
	ctx, cancel := context.WithTimeout(context.Background(), s.cfg.Settings.ControlTimeout)
	defer cancel()
	params := api.SuspectRequest{
		Fingerprint: c.fingerprint,
		Request:     c.id,
		Group:       t.grant.Group,
		Fencing:     t.grant.Fencing,
		Alone:       t.grant.Alone,
	}
	var res api.SuspectResponse
	if err := s.cfg.Control.Call(ctx, api.MethodSuspect, params, &res); err != nil {
		level.Warn(s.logger).Log("msg", "suspect not reported", "request", c.id, "err", err)
		return unavailable("control_unavailable", "a request that may have crashed its replica is not retried", err)
	}
	return s.judge(c, res.Quarantine)
}
