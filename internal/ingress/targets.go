package ingress

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/entry"
	"github.com/crocusway/crocusway/internal/placement"
	"github.com/crocusway/crocusway/internal/routing"
)

// routingState holds the pools and what they are built from. A pool is created by the
// first view that names it and is never removed.
type routingState struct {
	mu    sync.RWMutex
	pools map[string]*placement.Pool
	// servicePools are the pools of each service.
	servicePools map[string][]*placement.Pool
	table        *routing.Table
	// drained are the failure domains that operators drained; returnedAt is when one was
	// activated again.
	drained    map[api.FailureDomain]bool
	returnedAt map[api.FailureDomain]time.Time
	budgets    map[string]*serviceBudget
	revision   api.Revision
}

// serviceBudget is the retry budget of one service with a lock of its own.
type serviceBudget struct {
	mu sync.Mutex
	*placement.RetryBudget
}

func newRoutingState() *routingState {
	return &routingState{
		pools: make(map[string]*placement.Pool),

		servicePools: make(map[string][]*placement.Pool),
		drained:      make(map[api.FailureDomain]bool),
		returnedAt:   make(map[api.FailureDomain]time.Time),
		budgets:      make(map[string]*serviceBudget),
	}
}

// pool returns a pool by name, or nil.
func (b *routingState) pool(name string) *placement.Pool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.pools[name]
}

// allPools returns every pool.
func (b *routingState) allPools() []*placement.Pool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return slices.Collect(maps.Values(b.pools))
}

// poolsOf returns the pools of a service.
func (b *routingState) poolsOf(service string) []*placement.Pool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return slices.Clone(b.servicePools[service])
}

func (b *routingState) current() (*routing.Table, api.Revision) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.table, b.revision
}

// publication returns the version of the publication in force, 0 without one.
func (b *routingState) publication() uint64 {
	if table, _ := b.current(); table != nil {
		return table.Version()
	}
	return 0
}

// poolName names the pool of a service, or of one of its models.
func poolName(service *api.PublishedService, model string) string {
	if service.Engine == nil {
		return service.Name
	}
	return string(api.EngineGroupName(service.Name, model))
}

// Apply builds the routes and targets of a new view. Calls must not overlap. Requests wait
// only while the targets are replaced, not while a publication is compiled.
func (s *Server) Apply(snapshot *entry.Snapshot) {
	b := s.state
	table, _ := b.current()
	if p := snapshot.Publication; p != nil && (table == nil || table.Version() != p.Version) {
		table = s.compile(p, snapshot.Revision, table)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.revision, b.table = snapshot.Revision, table
	s.updateDomains(snapshot)
	if b.table == nil {
		return
	}
	targets := s.targets(snapshot)
	entries := placement.Entries{Self: s.cfg.Self.ID, Live: liveEntries(snapshot)}
	services := b.table.Services()
	for i := range services {
		s.updatePools(&services[i], targets, entries)
	}
}

// compile returns the routes of a publication, or the last ones if it can't be read.
func (s *Server) compile(packed *api.PackedPublication, revision api.Revision, last *routing.Table) *routing.Table {
	p, err := routing.Unpack(*packed)
	if err != nil {
		level.Error(s.logger).Log("msg", "Unreadable publication ignored", "version", packed.Version, "revision", revision, "err", err)
		return last
	}
	table := routing.Compile(p)
	level.Info(s.logger).Log("msg", "Publication in force", "version", p.Version, "revision", revision, "routes", len(p.Routes))
	return table
}

// updateDomains records which failure domains are drained, and when one returned: its
// servers may be cold before they report it.
func (s *Server) updateDomains(snapshot *entry.Snapshot) {
	for _, d := range snapshot.Domains {
		drained := d.State == api.DomainDrained
		if drained == s.state.drained[d.Name] {
			continue
		}
		s.state.drained[d.Name] = drained
		if !drained {
			s.state.returnedAt[d.Name] = time.Now()
		}
		level.Info(s.logger).Log("msg", "Failure domain changed", "domain", d.Name, "state", d.State, "revision", snapshot.Revision)
	}
}

// liveEntries lists the entries that may have work in progress.
func liveEntries(snapshot *entry.Snapshot) []api.EntryInfo {
	out := make([]api.EntryInfo, 0, len(snapshot.Entries))
	for _, e := range snapshot.Entries {
		if e.Live {
			out = append(out, e)
		}
	}
	return out
}

// updatePools replaces the targets of one service. The lock of the routing state is held.
func (s *Server) updatePools(service *api.PublishedService, targets map[string][]placement.Target, entries placement.Entries) {
	if service.Engine == nil {
		s.updatePool(service, "", targets, entries)
		return
	}
	for _, model := range service.Engine.Models {
		s.updatePool(service, model.Name, targets, entries)
	}
}

func (s *Server) updatePool(service *api.PublishedService, model string, targets map[string][]placement.Target, entries placement.Entries) {
	name := poolName(service, model)
	pool := s.state.pools[name]
	if pool == nil {
		pool = placement.NewPool(name, s.cfg.Self.Domain, time.Now, s.notices)
		s.state.pools[name] = pool
		s.state.servicePools[service.Name] = append(s.state.servicePools[service.Name], pool)
	}
	pool.Update(targets[name], service.Engine, entries)
}

// targets returns the targets of each pool.
func (s *Server) targets(snapshot *entry.Snapshot) map[string][]placement.Target {
	departed := make(map[api.HostID]api.Incarnation, len(snapshot.Departures))
	for _, d := range snapshot.Departures {
		departed[d.Host] = d.Incarnation
	}
	out := make(map[string][]placement.Target)
	for i := range snapshot.Groups {
		g := &snapshot.Groups[i]
		service := s.state.table.Service(g.Service)
		if service == nil || service.Engine == nil || g.Phase != api.GroupReady || !g.Open || len(g.Members) == 0 {
			continue
		}
		name := string(g.ServingGroup)
		target := s.groupTarget(service, g)
		target.Closed = s.isClosed(g, departed)
		out[name] = append(out[name], target)
	}
	for i := range snapshot.Servers {
		server := &snapshot.Servers[i]
		service := s.state.table.Service(server.Service)
		if service == nil || service.Engine != nil || server.Leaving || s.state.drained[server.Domain] {
			continue
		}
		if at, ok := departed[server.Host]; ok && server.Incarnation <= at {
			continue
		}
		out[service.Name] = append(out[service.Name], s.serverTarget(service, server))
	}
	return out
}

// isClosed reports whether a replica finishes its requests and takes no new ones: a
// member leaves, or its failure domain is drained.
func (s *Server) isClosed(g *api.Group, departed map[api.HostID]api.Incarnation) bool {
	if g.Leaving || s.state.drained[g.Domain] {
		return true
	}
	at, ok := departed[g.Members[0]]
	return ok && g.HeadIncarnation <= at
}

func (s *Server) groupTarget(service *api.PublishedService, g *api.Group) placement.Target {
	t := placement.Target{
		ID:         string(g.ID),
		Generation: uint64(g.Fencing),
		Instance:   g.Members[0],

		Incarnation: g.HeadIncarnation,
		Address:     g.Address,
		Domain:      g.Domain,
		Slots:       service.Engine.Slots,
		Cold:        !g.Warm || s.returnedRecently(service, g.Domain),
		ColdRate:    service.ColdRate,
	}
	for _, m := range service.Engine.Models {
		if m.Name == g.Model {
			t.Pace = m.Pace
		}
	}
	return t
}

func (s *Server) serverTarget(service *api.PublishedService, server *api.ServiceServer) placement.Target {
	return placement.Target{
		ID:         string(server.Host),
		Generation: uint64(server.Incarnation),
		Instance:   server.Host,

		Incarnation: server.Incarnation,
		Address:     server.Address,
		Domain:      server.Domain,
		Slots:       server.Slots,
		Cold:        !server.Warm || s.returnedRecently(service, server.Domain),
		ColdRate:    service.ColdRate,
	}
}

// returnedRecently reports whether a failure domain returned so recently that its
// servers may be cold.
func (s *Server) returnedRecently(service *api.PublishedService, domain api.FailureDomain) bool {
	at, ok := s.state.returnedAt[domain]
	if !ok {
		return false
	}
	cold := time.Duration(service.ColdStartMillis) * time.Millisecond
	return time.Since(at) < max(cold, s.cfg.Settings.ColdStart)
}

// budget returns the retry budget of a service.
func (s *Server) budget(service string) *serviceBudget {
	b := s.state
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budgets[service]
	if budget == nil {
		set := s.cfg.Settings
		budget = &serviceBudget{RetryBudget: placement.NewRetryBudget(set.RetryRatio, set.RetryAllowance, set.RetryWindow)}
		b.budgets[service] = budget
	}
	return budget
}

func (b *serviceBudget) count() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Count(time.Now())
}

func (b *serviceBudget) take(entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Take(time.Now(), entries)
}
