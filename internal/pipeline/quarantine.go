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
	return f.applyQuarantine(c, q)
}

// applyQuarantine applies the quarantine state of the call's fingerprint. A call
// that became a suspect remains one.
func (s *Server) applyQuarantine(c *call, q api.Quarantine) error {
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

// recheckQuarantine applies the quarantine state that arrived while the call
// waited for its grant. A new suspect exchanges the grant for one that shares its
// replica with no other request.
func (s *Server) recheckQuarantine(c *call) error {
	q, ok := c.snapshot.Quarantine(c.fingerprint)
	if !ok {
		return nil
	}
	if err := s.applyQuarantine(c, q); err != nil {
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
	return s.applyQuarantine(c, q)
}

// reportSuspect reports to control that the replica crashed during the call, and
// applies the returned state to a retry.
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
		level.Warn(s.logger).Log("msg", "reporting a suspect failed", "request", c.id, "err", err)
		return unavailable("control_unavailable", "a request that may have crashed its replica is not retried", err)
	}
	return s.applyQuarantine(c, res.Quarantine)
}

// awaitSuspect delays the refusal of a call whose replica crashed until every
// entry that may work has applied the suspect: the caller's resend may go to any
// of them. The wait is bounded by the time after which an entry with an older view
// holds no work lease.
func (s *Server) awaitSuspect(c *call) {
	if c.suspect == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.suspectWait())
	defer cancel()
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		return struct{}{}, s.confirmSuspect(ctx, *c.suspect)
	})
	if err != nil {
		level.Warn(s.logger).Log("msg", "suspect not in force at every entry", "request", c.id, "err", err)
	}
	c.suspect = nil
}

// confirmSuspect reports a crash again, which control counts once, and fails
// unless the suspect is in force at every entry.
func (s *Server) confirmSuspect(ctx context.Context, params api.SuspectRequest) error {
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

// suspectWait returns how long the refusal of a suspect may be delayed: two of
// the longest work leases and a call to control, but at least SuspectWait.
func (s *Server) suspectWait() time.Duration {
	lease := time.Duration(s.cfg.State.Snapshot().LeaseMillis) * time.Millisecond
	if lease == 0 {
		return s.cfg.Settings.SuspectWait
	}
	return max(s.cfg.Settings.SuspectWait, 2*lease+s.cfg.Settings.ControlTimeout)
}
