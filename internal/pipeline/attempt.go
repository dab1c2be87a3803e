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

// afterFailure gives the failed attempt's grant back and decides whether
// another attempt may follow.
func (s *Server) afterFailure(c *call, failed *attemptError) error {
	t := c.target
	c.target = target{}
	c.sent = c.sent || failed.sent
	if c.grantEnded() || errors.Is(failed, errGrantEnded) {
		failed.grantEnded = true
		c.takenBack = c.takenBack || failed.sent
	}
	if c.endAttempt != nil {
		c.endAttempt()
	}
	err := s.releaseFailed(c, t, failed)
	if err != nil {
		return err
	}
	return s.mayRetry(c, failed)
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
		// The call may still run: its place stays counted until it can't.
		s.cfg.Grants.Abandon(t.grant)
		c.exclude(t.grant.Group)
		return nil
	}
	if failed.answered {
		s.cfg.Grants.Settle(t.grant, c.result(api.OutcomeUnknown, true))
		c.exclude(t.grant.Group)
		return nil
	}
	return s.releaseBroken(c, t, failed)
}

// releaseBroken gives back the grant of an attempt whose connection broke.
func (s *Server) releaseBroken(c *call, t target, failed *attemptError) error {
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

// mayRetry returns why no further attempt may follow, or nil.
func (s *Server) mayRetry(c *call, failed *attemptError) error {
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
	if c.attempts >= s.cfg.Settings.MaxAttempts || !s.affords(c, failed) {
		return refuse
	}
	return nil
}

// affords spends the retry budget, unless the retry repeats no work: nothing
// was sent, or a stream goes on where it was cut.
func (s *Server) affords(c *call, failed *attemptError) bool {
	if !failed.sent || c.hasBegun() {
		return true
	}
	return s.budget.take()
}

// exclude keeps a replica out of further attempts.
func (c *call) exclude(id api.GroupID) {
	if !slices.Contains(c.excluded, id) {
		c.excluded = append(c.excluded, id)
	}
}

// exclude keeps a server out of further attempts.
func (sc *serviceCall) exclude(host api.HostID) {
	if host != "" {
		sc.excluded = append(sc.excluded, host)
	}
}
