package pipeline

import "github.com/crocusway/crocusway/internal/api"

// settle ends the call. A stream ends its call itself.
type settle struct{ *Server }

func (f settle) apply(c *call) error {
	if c.response.Stream == nil {
		f.end(c)
	}
	return nil
}

// end releases the grant and the service slot of a call, ends its record and
// records its metrics. Further calls change nothing.
func (s *Server) end(c *call) {
	if c.settled {
		return
	}
	c.settled = true
	if c.target.granted {
		s.cfg.Grants.Settle(c.target.grant, c.result(c.outcome, false))
		c.target.granted = false
	}
	if c.service.slotHeld {
		s.limits.release(c.service.name)
	}
	// The last attempt of an interrupted request is only a part of its run.
	if c.kind != callService && c.outcome == api.OutcomeComplete && !c.started.IsZero() && !c.interrupted {
		s.runTimes.observe(c.generation.model, c.generation.tokens, s.cfg.Clock.Now().Sub(c.started))
	}
	s.closeRecord(c)
	if c.endAttempt != nil {
		c.endAttempt()
	}
	if c.cancel != nil {
		c.cancel()
	}
	s.metrics.observeEnd(c, s.cfg.Clock.Now())
	s.domainChange.count(c)
	s.active.Done()
}
