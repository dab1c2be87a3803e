package standin

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/logging"
)

// Fleet is a set of simulated hosts that announce themselves to the entries.
type Fleet struct {
	cfg       Config
	logger    log.Logger
	ctx       context.Context
	cancel    context.CancelFunc
	listener  *mergedListener
	server    *fasthttp.Server
	announcer *announcer
	record    recorder
	tasks     sync.WaitGroup
	hosts     []*Host
	byID      map[api.HostID]*Host

	lastDirectID atomic.Int64
	// loadTime is the duration of a model load, in nanoseconds.
	loadTime atomic.Int64

	mu        sync.Mutex
	closed    bool
	crashOn   []byte
	runsByKey map[serviceKey]int
}

// serviceKey identifies a counter of runs: a plain service and an idempotency
// key, or the request body if there is no key.
type serviceKey struct{ service, key string }

// Start starts every host. The caller must Close the fleet.
func Start(cfg Config) (*Fleet, error) {
	cfg = cfg.withDefaults()
	if len(cfg.Domains) == 0 {
		return nil, errors.New("start fleet: no failure domain is configured")
	}
	f := &Fleet{
		cfg:       cfg,
		logger:    logging.For(cfg.Logger, "standin"),
		listener:  newMergedListener(),
		byID:      make(map[api.HostID]*Host),
		runsByKey: make(map[serviceKey]int),
	}
	f.SetLoadTime(cfg.Engine.LoadTime)
	f.ctx, f.cancel = context.WithCancel(context.Background())
	f.server = &fasthttp.Server{
		Handler:               f.serve,
		Name:                  "standin",
		MaxRequestBodySize:    maxRequestBody,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		Logger:                serverLogger{f.logger},
	}
	f.announcer = newAnnouncer(f)
	f.addEngines()
	f.addServices()
	f.tasks.Go(func() { _ = f.server.Serve(f.listener) })
	for _, h := range f.hosts {
		if err := h.start(); err != nil {
			f.Close()
			return nil, err
		}
	}
	f.tasks.Go(func() { f.announcer.run(f.ctx) })
	return f, nil
}

func (f *Fleet) addEngines() {
	for i := range f.cfg.Fabrics {
		domain := f.cfg.Domains[i%len(f.cfg.Domains)]
		fabric := api.FabricDomain(fmt.Sprintf("%sfabric-%d", f.cfg.Prefix, i))
		for j := range f.cfg.HostsPerFabric {
			h := newHost(f, api.HostID(fmt.Sprintf("%shost-%d-%d", f.cfg.Prefix, i, j)), domain)
			h.kind = api.BackendEngine
			h.fabric = fabric
			f.add(h)
		}
	}
}

func (f *Fleet) addServices() {
	for _, s := range f.cfg.Services {
		for _, domain := range f.cfg.Domains {
			for i := range s.PerDomain {
				h := newHost(f, api.HostID(fmt.Sprintf("%s%s-%s-%d", f.cfg.Prefix, s.Name, domain, i)), domain)
				h.kind = api.BackendService
				h.service = s
				f.add(h)
			}
		}
	}
}

func (f *Fleet) add(h *Host) {
	h.entryIndex = len(f.hosts)
	f.hosts = append(f.hosts, h)
	f.byID[h.id] = h
}

// Token returns the bearer token of the backend servers.
func (f *Fleet) Token() string { return f.cfg.Token }

// Hosts returns every host, engines first.
func (f *Fleet) Hosts() []*Host { return f.hosts }

// Host returns a host by its id, or nil.
func (f *Fleet) Host(id api.HostID) *Host { return f.byID[id] }

// hostsByID returns the hosts with the given ids that belong to the fleet.
func (f *Fleet) hostsByID(ids []api.HostID) []*Host {
	hosts := make([]*Host, 0, len(ids))
	for _, id := range ids {
		if h := f.byID[id]; h != nil {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// InFabric returns the hosts of a fabric domain.
func (f *Fleet) InFabric(name api.FabricDomain) []*Host {
	return f.filter(func(h *Host) bool { return h.fabric == name })
}

// InDomain returns the hosts of a failure domain.
func (f *Fleet) InDomain(name api.FailureDomain) []*Host {
	return f.filter(func(h *Host) bool { return h.domain == name })
}

// OfService returns the hosts of a plain service.
func (f *Fleet) OfService(name string) []*Host {
	return f.filter(func(h *Host) bool { return h.kind == api.BackendService && h.service.Name == name })
}

func (f *Fleet) filter(match func(*Host) bool) []*Host {
	var out []*Host
	for _, h := range f.hosts {
		if match(h) {
			out = append(out, h)
		}
	}
	return out
}

// FormReplica assigns the hosts to a replica in the order of their ranks, without
// orders over HTTP. It returns false if a host rejects the assignment.
func (f *Fleet) FormReplica(group api.GroupID, fencing api.Fencing, model string, hosts ...*Host) bool {
	members := make([]api.HostID, 0, len(hosts))
	for _, h := range hosts {
		members = append(members, h.id)
	}
	for rank, h := range hosts {
		result := h.apply(api.Order{
			Version: api.AnnouncementVersion,
			Kind:    api.OrderAssign,
			Host:    h.id,
			Group:   group,
			Fencing: fencing,
			Rank:    rank,
			Members: members,
			Model:   model,
		})
		if !result.Accepted {
			return false
		}
	}
	return true
}

// WarmReplicas counts the complete and loaded replicas whose cold start is over.
func (f *Fleet) WarmReplicas() int {
	return len(f.filter(func(h *Host) bool { return h.isWarm() && h.Serving() }))
}

// directID returns a new id for a request that was sent without one.
func (f *Fleet) directID() api.RequestID {
	return api.RequestID(fmt.Sprintf("direct-%d", f.lastDirectID.Add(1)))
}

// SetEntries replaces the entries to announce to.
func (f *Fleet) SetEntries(addresses []string) { f.announcer.setEntries(addresses) }

// SetLoadTime sets the duration of model loads that start from now on, for
// example to simulate a slower weight store.
func (f *Fleet) SetLoadTime(d time.Duration) { f.loadTime.Store(int64(d)) }

// LoadTime returns the duration of a model load that starts now.
func (f *Fleet) LoadTime() time.Duration { return time.Duration(f.loadTime.Load()) }

// CrashOn makes every host crash that runs a request whose body contains text.
// An empty text disables this.
func (f *Fleet) CrashOn(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashOn = []byte(text)
}

func (f *Fleet) triggersCrash(body []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashOn) > 0 && bytes.Contains(body, f.crashOn)
}

func (f *Fleet) countRun(service, key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := serviceKey{service, key}
	f.runsByKey[k]++
	return f.runsByKey[k]
}

// RunsOfKey returns how often a plain service ran calls with an idempotency key.
func (f *Fleet) RunsOfKey(service, key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runsByKey[serviceKey{service, key}]
}

// dueHosts returns the hosts whose announcement is due.
func (f *Fleet) dueHosts() []*Host {
	now := f.cfg.Clock.Now()
	return f.filter(func(h *Host) bool { return h.takeDue(now) })
}

// after runs fn after d unless the fleet is closed first.
func (f *Fleet) after(d time.Duration, fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.tasks.Go(func() {
		timer := time.NewTimer(d)
		defer timer.Stop()
		select {
		case <-timer.C:
			fn()
		case <-f.ctx.Done():
		}
	})
}

// Close kills every host and waits until all have stopped.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	f.cancel()
	for _, h := range f.hosts {
		h.Kill()
		h.Resume()
	}
	_ = f.listener.Close()
	f.tasks.Wait()
	_ = f.server.Shutdown()
	f.announcer.client.CloseIdleConnections()
}

// serverLogger adapts a go-kit logger to fasthttp.
type serverLogger struct{ logger log.Logger }

// Printf implements fasthttp.Logger.
func (l serverLogger) Printf(format string, args ...any) {
	_ = l.logger.Log("msg", fmt.Sprintf(format, args...))
}
