package pipeline

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/shard"
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

// judge applies the state of the call's fingerprint. A call that became a suspect
// stays one.
func (s *Server) judge(c *call, q api.Quarantine) error {
	if q.UntilUnixMillis > unixMillis(s.cfg.Clock.Now()) {
		return &refusal{
			status:  fasthttp.StatusUnprocessableEntity,
			code:    "request_quarantined",
			message: "requests with this content crashed the backend servers that ran them",
		}
	}
	c.alone = c.alone || (q.Deaths > 0 && q.UntilUnixMillis == 0)
	return nil
}

// judgeAgain applies what became known of the call's fingerprint while the call
// waited for its place. A new suspect changes its place for a replica of its own.
func (s *Server) judgeAgain(c *call) error {
	q, ok := c.snapshot.Quarantine(c.fingerprint)
	if !ok {
		return nil
	}
	if err := s.judge(c, q); err != nil {
		return err
	}
	if !c.alone || c.target.grant.Alone {
		return nil
	}
	s.cfg.Grants.Settle(c.target.grant, shard.Result{Outcome: api.OutcomeNotRun})
	c.target = target{}
	if err := s.order.attempt[0].apply(c); err != nil {
		return err
	}
	c.snapshot = s.cfg.State.Snapshot()
	if q, ok = c.snapshot.Quarantine(c.fingerprint); !ok {
		return nil
	}
	return s.judge(c, q)
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
	c.suspect = &params
	var res api.SuspectResponse
	if err := s.cfg.Control.Call(ctx, api.MethodSuspect, params, &res); err != nil {
		level.Warn(s.logger).Log("msg", "suspect not reported", "request", c.id, "err", err)
		return unavailable("control_unavailable", "a request that may have crashed its replica is not retried", err)
	}
	return s.judge(c, res.Quarantine)
}

// awaitSuspicion holds back the refusal of a call whose replica died, until every
// entry that may work knows of the death: the caller's next send may go to any of
// them. It is bounded by the time after which an entry that doesn't know holds no
// work lease.
func (s *Server) awaitSuspicion(c *call) {
	if c.suspect == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.suspicionWait())
	defer cancel()
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, s.confirmSuspicion(ctx, *c.suspect)
	})
	if err != nil {
		level.Warn(s.logger).Log("msg", "suspect not known to every entry", "request", c.id, "err", err)
	}
	c.suspect = nil
}

// confirmSuspicion reports a death again, which counts it once, and fails unless
// it is in force.
func (s *Server) confirmSuspicion(ctx context.Context, params api.SuspectRequest) error {
	until, _ := ctx.Deadline()
	params.WaitMillis = max(1, time.Until(until).Milliseconds())
	var res api.SuspectResponse
	if err := s.cfg.Control.Call(ctx, api.MethodSuspect, params, &res); err != nil {
		return err
	}
	if !res.InForce {
		return errs.New(errs.Unavailable, "confirm suspect", "", "not in force at every entry")
	}
	return nil
}

// suspicionWait returns how long the refusal of a suspect may be held back: two
// of the longest work leases, and the time of a call.
func (s *Server) suspicionWait() time.Duration {
	lease := time.Duration(s.cfg.State.Snapshot().LeaseMillis) * time.Millisecond
	if lease == 0 {
		return s.cfg.Settings.SuspectWait
	}
	return max(s.cfg.Settings.SuspectWait, 2*lease+s.cfg.Settings.ControlTimeout)
}
