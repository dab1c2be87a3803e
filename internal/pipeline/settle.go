package pipeline

import "github.com/crocusway/crocusway/internal/api"

// settle gives back what the call holds and stores its end. A stream does so
// when it ends.
type settle struct{ *Server }

func (f settle) apply(c *call) error {
	if c.response.Stream == nil {
		f.end(c)
	}
	return nil
}

// end gives back the grant and the place of a call, ends its record and counts
// it out. A second call changes nothing.
func (s *Server) end(c *call) {
	if c.settled {
		return
	}
	c.settled = true
	if c.target.granted {
		s.cfg.Grants.Settle(c.target.grant, c.result(c.outcome, false))
		c.target.granted = false
	}
	if c.service.entered {
		s.limits.leave(c.service.name)
	}
	// The last attempt of a resumed request is only a part of its run.
	if c.kind != callService && c.outcome == api.OutcomeComplete && !c.started.IsZero() && !c.takenBack {
		s.runTimes.observe(c.generation.model, c.generation.tokens, s.cfg.Clock.Now().Sub(c.started))
	}
	s.closeRecord(c)
	if c.endAttempt != nil {
		c.endAttempt()
	}
	if c.cancel != nil {
		c.cancel()
	}
	s.metrics.ended(c, s.cfg.Clock.Now())
	s.domainChange.count(c)
	s.active.Done()
}
