package pipeline

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/shard"
)

// cancelTimeout bounds one cancel call to an engine.
const cancelTimeout = 500 * time.Millisecond

// attempt passes the call through the attempt filters until one attempt
// succeeds or no further one is allowed.
func (s *Server) attempt(c *call) error {
	for {
		err := run(c, s.order.attempt)
		if err == nil {
			return nil
		}
		var failed *attemptError
		if !errors.As(err, &failed) {
			return err
		}
		if err := s.afterFailure(c, failed); err != nil {
			return err
		}
	}
}

// afterFailure releases the grant of a failed attempt and decides whether
// another attempt may follow.
func (s *Server) afterFailure(c *call, failed *attemptError) error {
	t := c.target
	c.target = target{}
	c.sent = c.sent || failed.sent
	if c.grantEnded() || errors.Is(failed, errGrantEnded) {
		failed.grantEnded = true
		c.interrupted = c.interrupted || failed.sent
	}
	if c.endAttempt != nil {
		c.endAttempt()
	}
	err := s.releaseFailed(c, t, failed)
	if err != nil {
		return err
	}
	return s.checkRetry(c, failed)
}

// releaseFailed stops the work of a failed attempt and settles its grant.
func (s *Server) releaseFailed(c *call, t target, failed *attemptError) error {
	if !t.granted {
		c.service.exclude(t.host)
		return nil
	}
	if !failed.sent {
		s.cfg.Grants.Settle(t.grant, shard.Result{Outcome: api.OutcomeNotRun, Failed: !failed.grantEnded})
		c.exclude(t.grant.Group)
		return nil
	}
	if c.kind == callService {
		// The call may still run, so its grant stays counted until it expires.
		s.cfg.Grants.Abandon(t.grant)
		c.exclude(t.grant.Group)
		return nil
	}
	if failed.answered {
		s.cfg.Grants.Settle(t.grant, c.result(api.OutcomeUnknown, true))
		c.exclude(t.grant.Group)
		return nil
	}
	return s.releaseUnanswered(c, t, failed)
}

// releaseUnanswered settles the grant of an attempt without a complete answer, or
// abandons it if the request may still run. A dead replica is reported to control.
func (s *Server) releaseUnanswered(c *call, t target, failed *attemptError) error {
	stopped := s.stop(c, t)
	if !stopped.stopped && !stopped.dead {
		s.cfg.Grants.Abandon(t.grant)
		c.exclude(t.grant.Group)
		return nil
	}
	s.cfg.Grants.Settle(t.grant, c.result(api.OutcomeUnknown, !failed.grantEnded))
	if !stopped.dead {
		return nil
	}
	c.exclude(t.grant.Group)
	return s.reportSuspect(c, t)
}

// checkRetry returns a refusal if no further attempt may follow.
func (s *Server) checkRetry(c *call, failed *attemptError) error {
	refuse := &refusal{
		status:  fasthttp.StatusBadGateway,
		code:    "backend_failed",
		message: "the backend server did not answer",
		cause:   failed,
	}
	if c.ctx.Err() != nil {
		refuse.status = fasthttp.StatusGatewayTimeout
		refuse.code = "timeout"
		refuse.message = "the answer did not come in time"
		return refuse
	}
	if c.sent && !c.repeatable {
		return refuse
	}
	if failed.grantEnded && failed.sent {
		return nil
	}
	if !c.sent {
		refuse.status = fasthttp.StatusServiceUnavailable
		refuse.retryAfter = time.Second
	}
	if c.attempts >= s.cfg.Settings.MaxAttempts || !s.spendRetryBudget(c, failed) {
		return refuse
	}
	return nil
}

// spendRetryBudget reports whether the retry budget allows a retry, and spends it.
// A retry that repeats no work is free: nothing was sent, or the call has progress.
func (s *Server) spendRetryBudget(c *call, failed *attemptError) bool {
	if !failed.sent || c.hasProgress() {
		return true
	}
	return s.budget.take()
}

// exclude excludes a replica from further attempts.
func (c *call) exclude(id api.GroupID) {
	if !slices.Contains(c.excluded, id) {
		c.excluded = append(c.excluded, id)
	}
}

// exclude excludes a server from further attempts.
func (sc *serviceCall) exclude(host api.HostID) {
	if host != "" {
		sc.excluded = append(sc.excluded, host)
	}
}
