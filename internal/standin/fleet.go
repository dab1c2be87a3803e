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

// Fleet is a set of stand-in hosts that announce themselves.
type Fleet struct {
	cfg       Config
	logger    log.Logger
	ctx       context.Context
	cancel    context.CancelFunc
	listener  *fanIn
	server    *fasthttp.Server
	announcer *announcer
	record    recorder
	tasks     sync.WaitGroup
	hosts     []*Host
	byID      map[api.HostID]*Host

	direct atomic.Int64
	// loadTime is how long a host loads a model, in nanoseconds.
	loadTime atomic.Int64

	mu      sync.Mutex
	closed  bool
	crashOn []byte
	counts  map[serviceKey]int
}

// serviceKey identifies what a plain service counts its runs by.
type serviceKey struct{ service, key string }

// Start starts every host. The caller must Close the fleet.
func Start(cfg Config) (*Fleet, error) {
	cfg = cfg.withDefaults()
	if len(cfg.Domains) == 0 {
		return nil, errors.New("start fleet: no failure domain")
	}
	f := &Fleet{
		cfg:      cfg,
		logger:   logging.For(cfg.Logger, "standin"),
		listener: newFanIn(),
		byID:     make(map[api.HostID]*Host),
		counts:   make(map[serviceKey]int),
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
	h.entry = len(f.hosts)
	f.hosts = append(f.hosts, h)
	f.byID[h.id] = h
}

// Token returns the bearer token of the backends.
func (f *Fleet) Token() string { return f.cfg.Token }

// Hosts returns every host, engines first.
func (f *Fleet) Hosts() []*Host { return f.hosts }

// Host returns a host, or nil.
func (f *Fleet) Host(id api.HostID) *Host { return f.byID[id] }

// known returns the hosts of the fleet among ids.
func (f *Fleet) known(ids []api.HostID) []*Host {
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

func (f *Fleet) filter(keep func(*Host) bool) []*Host {
	var out []*Host
	for _, h := range f.hosts {
		if keep(h) {
			out = append(out, h)
		}
	}
	return out
}

// Form makes the hosts a replica, rank by rank, without an order over HTTP. It
// returns false when a host refuses.
func (f *Fleet) Form(group api.GroupID, fencing api.Fencing, model string, hosts ...*Host) bool {
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

// WarmReplicas counts the whole and loaded replicas whose cold start is over.
func (f *Fleet) WarmReplicas() int {
	return len(f.filter(func(h *Host) bool { return h.isWarm() && h.Serving() }))
}

// directID returns an id for a request that brought none.
func (f *Fleet) directID() api.RequestID {
	return api.RequestID(fmt.Sprintf("direct-%d", f.direct.Add(1)))
}

// SetEntries replaces the entries to announce to.
func (f *Fleet) SetEntries(addresses []string) { f.announcer.learn(addresses) }

// SetLoadTime changes how long the loads take that begin from now on, as a
// slower weight store would.
func (f *Fleet) SetLoadTime(d time.Duration) { f.loadTime.Store(int64(d)) }

// LoadTime returns how long a load takes that begins now.
func (f *Fleet) LoadTime() time.Duration { return time.Duration(f.loadTime.Load()) }

// CrashOn makes every host fall over that runs a request whose body contains
// text; an empty text ends it.
func (f *Fleet) CrashOn(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashOn = []byte(text)
}

func (f *Fleet) crashes(body []byte) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashOn) > 0 && bytes.Contains(body, f.crashOn)
}

func (f *Fleet) countRun(service, key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := serviceKey{service, key}
	f.counts[k]++
	return f.counts[k]
}

// RunsOfKey returns how often a plain service ran the calls of a key.
func (f *Fleet) RunsOfKey(service, key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts[serviceKey{service, key}]
}

// dueHosts returns the hosts whose announcement is due.
func (f *Fleet) dueHosts() []*Host {
	now := f.cfg.Clock.Now()
	return f.filter(func(h *Host) bool { return h.takeDue(now) })
}

// after runs fn after d unless the fleet closes before.
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
