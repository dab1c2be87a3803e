package ingress

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/placement"
	"github.com/crocusway/crocusway/internal/reach"
)

// serviceLinks are the links of this entry to the servers of one service.
type serviceLinks struct {
	service string
	tracker *reach.Tracker
	// forwards are the other entries as receivers of requests for the service.
	forwards *forwardTable
}

// linkTable holds the links of this entry to the servers: to all of them, which show a
// partition soonest, and to those of each service. It is safe for concurrent use.
type linkTable struct {
	all *reach.Tracker

	mu       sync.RWMutex
	services map[string]*serviceLinks
}

func newLinkTable() *linkTable {
	return &linkTable{all: reach.NewTracker(), services: make(map[string]*serviceLinks)}
}

// service returns the links to the servers of a service.
func (t *linkTable) service(name string) *serviceLinks {
	t.mu.RLock()
	l := t.services[name]
	t.mu.RUnlock()
	if l != nil {
		return l
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.services[name] == nil {
		t.services[name] = &serviceLinks{service: name, tracker: reach.NewTracker(), forwards: newForwardTable()}
	}
	return t.services[name]
}

func (t *linkTable) list() []*serviceLinks {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Collect(maps.Values(t.services))
}

// markLost records that another entry has lost its links to all servers.
func (t *linkTable) markLost(id api.EntryID, until time.Time) {
	for _, l := range t.list() {
		l.forwards.markLost(id, until)
	}
}

// linksLost reports whether this entry reaches no server that the request could run on.
func (s *Server) linksLost(c *call) bool { return s.links.all.Lost() || c.links.tracker.Lost() }

// checkLinks starts the probes that are due. While the links to all servers are lost, no
// service is probed by itself.
func (s *Server) checkLinks(ctx context.Context) {
	s.checkTracker(ctx, s.links.all, "", s.state.allPools())
	if s.links.all.Lost() {
		return
	}
	for _, l := range s.links.list() {
		s.checkTracker(ctx, l.tracker, l.service, s.state.poolsOf(l.service))
	}
}

func (s *Server) checkTracker(ctx context.Context, tracker *reach.Tracker, service string, pools []*placement.Pool) {
	waiting := 0
	for _, pool := range pools {
		waiting += pool.Waiting(reach.SilenceBound)
	}
	targets := func() []reach.Server { return probeTargets(pools) }
	for _, server := range tracker.Due(targets, waiting, time.Now()) {
		go s.probe(ctx, tracker, service, server)
	}
}

// probeTargets returns the servers of pools.
func probeTargets(pools []*placement.Pool) []reach.Server {
	var out []reach.Server
	for _, pool := range pools {
		for _, t := range pool.Targets() {
			out = append(out, reach.Server{Address: t.Address, Domain: t.Domain})
		}
	}
	return out
}

// probe tries to connect to one server. A request uses the connection later.
func (s *Server) probe(ctx context.Context, tracker *reach.Tracker, service string, server reach.Server) {
	ctx, cancel := context.WithTimeout(ctx, reach.ProbeTimeout)
	defer cancel()
	began := time.Now()
	err := s.cfg.Backends.Connect(ctx, server.Address)
	took := time.Since(began)
	level.Debug(s.logger).Log("msg", "Server probed", "service", service, "address", server.Address, "domain", server.Domain,
		"took_ms", took.Milliseconds(), "err", err)
	if err != nil && reach.IsLate(took) {
		level.Info(s.logger).Log("msg", "Probe of a server ended late", "service", service, "address", server.Address, "took_ms", took.Milliseconds())
		tracker.ProbedLate()
		return
	}
	if tracker.Probed(server.Address, err == nil, time.Now()) {
		s.onLinksChanged(tracker, service)
	}
}

// onLinksChanged logs that links are lost or back; service is empty for those to all
// servers. Requests in the queues leave them once the links are lost. What this entry
// believed of single servers meanwhile does not count afterwards.
func (s *Server) onLinksChanged(tracker *reach.Tracker, service string) {
	pools := s.state.allPools()
	if service != "" {
		pools = s.state.poolsOf(service)
	}
	if !tracker.Lost() {
		level.Info(s.logger).Log("msg", "Links to servers regained", "service", service, "requests", s.Active())
		s.instruments.recordLinks("regained", service)
		for _, pool := range pools {
			pool.Trust()
		}
		return
	}
	level.Warn(s.logger).Log("msg", "Links to all servers lost", "service", service, "heard_ms", tracker.SinceHeard(time.Now()).Milliseconds(),
		"requests", s.Active())
	s.instruments.recordLinks("lost", service)
	if service == "" {
		// It is not known which connections the servers still have.
		s.cfg.Backends.CloseIdle()
	}
	for _, pool := range pools {
		pool.Interrupt()
	}
}

// recordDial records the result of a connection attempt of a request.
func (s *Server) recordDial(c *call, ok bool) {
	address, now := c.place.Target.Address, time.Now()
	s.links.all.Dialed(address, ok, now)
	c.links.tracker.Dialed(address, ok, now)
}

// recordHeard records bytes of an answer.
func (s *Server) recordHeard(c *call) {
	if c.place == nil {
		return
	}
	address, now := c.place.Target.Address, time.Now()
	s.links.all.Heard(address, now)
	c.links.tracker.Heard(address, now)
}

// recordBytes records bytes of the body of an answer.
func (s *Server) recordBytes(c *call) {
	if c.place != nil {
		c.pool.RecordBytes(c.place)
	}
	s.recordHeard(c)
}

// recordFirst records the first byte of an answer body, or its first event.
func (s *Server) recordFirst(c *call) {
	if c.place != nil {
		c.pool.RecordFirstEvent(c.place)
	}
}
