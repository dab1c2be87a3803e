package ingress

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/reach"
)

// checkLinks starts the probes that are due.
func (s *Server) checkLinks(ctx context.Context) {
	waiting := 0
	for _, pool := range s.state.allPools() {
		waiting += pool.Waiting(reach.SilenceBound)
	}
	for _, server := range s.links.Due(s.probeTargets, waiting, time.Now()) {
		go s.probe(ctx, server)
	}
}

// probeTargets returns the servers of all pools.
func (s *Server) probeTargets() []reach.Server {
	var out []reach.Server
	for _, pool := range s.state.allPools() {
		for _, t := range pool.Targets() {
			out = append(out, reach.Server{Address: t.Address, Domain: t.Domain})
		}
	}
	return out
}

// probe tries to connect to one server. A request uses the connection later.
func (s *Server) probe(ctx context.Context, server reach.Server) {
	ctx, cancel := context.WithTimeout(ctx, reach.ProbeTimeout)
	defer cancel()
	err := s.cfg.Backends.Connect(ctx, server.Address)
	level.Debug(s.logger).Log("msg", "Server probed", "address", server.Address, "domain", server.Domain, "err", err)
	now := time.Now()
	if s.links.Probed(server.Address, err == nil, now) {
		s.onLinksChanged(now)
	}
}

// onLinksChanged logs that the links to the servers are lost or back. Requests in the
// queues leave it once the links are lost. What this entry believed of single servers
// meanwhile does not count afterwards.
func (s *Server) onLinksChanged(now time.Time) {
	if s.links.Lost() {
		level.Warn(s.logger).Log("msg", "Links to all servers lost", "heard_ms", s.links.SinceHeard(now).Milliseconds(),
			"requests", s.active.Count())
		s.instruments.recordLinks("lost")
		// It is not known which connections the servers still have.
		s.cfg.Backends.CloseIdle()
		for _, pool := range s.state.allPools() {
			pool.Interrupt()
		}
		return
	}
	level.Info(s.logger).Log("msg", "Links to servers regained", "requests", s.active.Count())
	s.instruments.recordLinks("regained")
	for _, pool := range s.state.allPools() {
		pool.Trust()
	}
}

// recordHeard records bytes of an answer.
func (s *Server) recordHeard(c *call) {
	if c.place == nil {
		return
	}
	c.pool.RecordBytes(c.place)
	s.links.Heard(c.place.Target.Address, time.Now())
}

// recordFirst records the first byte of an answer body, or its first event.
func (s *Server) recordFirst(c *call) {
	if c.place != nil {
		c.pool.RecordFirstEvent(c.place)
	}
}
