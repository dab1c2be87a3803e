package daemon

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/control"
	"github.com/crocusway/crocusway/internal/discovery"
	"github.com/crocusway/crocusway/internal/entry"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/group"
	"github.com/crocusway/crocusway/internal/ingress"
	"github.com/crocusway/crocusway/internal/intake"
	"github.com/crocusway/crocusway/internal/logging"
	"github.com/crocusway/crocusway/internal/peer"
	"github.com/crocusway/crocusway/internal/telemetry"
)

// GatewayConfig configures a daemon whose protocols for callers, backend servers and
// operators come from an adapter. The adapter decodes them into calls of Gateway and
// mounts them as Endpoints.
type GatewayConfig struct {
	// Name names the host, unique in the system.
	Name   string
	Role   config.Role
	Domain api.FailureDomain
	// PeerAddress is the "ip:port" for links between daemons, CallerAddress the one of
	// an entry for callers.
	PeerAddress   string
	CallerAddress string
	// ForwardAddress is the "ip:port" on which an entry takes requests that other entries
	// forward; if empty, it takes none.
	ForwardAddress string
	// PeerListen is the address to listen on for links where it differs from
	// PeerAddress, and PeerSource the local IP of dialed links, empty for any.
	PeerListen string
	PeerSource string
	// ServerSource is the local IP of an entry's connections to backend servers, empty for
	// any.
	ServerSource string
	// Seeds are the peer addresses of some control daemons.
	Seeds  []string
	Secret config.Secret
	// DataDir, Bootstrap and Voters apply to the role control: its data folder, whether
	// this is the first start of the whole system, and the number of voters to maintain.
	// Bootstrap must not be set after any control daemon has lost its data folder.
	DataDir   string
	Bootstrap bool
	Voters    int
	// AnnounceGrace is the time within which every backend server reaches a new control
	// leader.
	AnnounceGrace time.Duration
	// Policy holds the planner's settings.
	Policy group.Policy
	// Orders sends orders to backend servers.
	Orders backend.OrderSender
	// Dialect and Ingress configure the request path of an entry.
	Dialect ingress.Dialect
	Ingress ingress.Settings
	// LameDuckPeriod is how long an entry that shuts down still accepts requests of
	// callers that cached its address; Grace bounds the whole shutdown.
	LameDuckPeriod time.Duration
	Grace          time.Duration
	// Memory is that of the host in bytes and Descriptors what the process may open; callers
	// get a part of both. 0: those of the machine.
	Memory      int64
	Descriptors int
	// LeastRequestTime is what an entry that shuts down leaves to each request that it still
	// accepts.
	LeastRequestTime time.Duration
	Logger           log.Logger
}

// Timing of a gateway. Leases, intervals and link timeouts are well below the time
// within which a change must be in force.
const (
	gatewayWorkLease     = 3 * time.Second
	gatewayRenewInterval = time.Second
	// gatewayWatchDelay is what batching of updates may add to the age of a view: far
	// below the time within which a lost host is detected.
	gatewayWatchDelay = 100 * time.Millisecond
	// gatewayIdleTimeout is the silence after which a link between daemons is closed.
	gatewayIdleTimeout = 1800 * time.Millisecond
	gatewayDialTimeout = 600 * time.Millisecond
	// gatewayCallTimeout bounds one call to control on behalf of a backend server or
	// an operator: both try another daemon after a second.
	gatewayCallTimeout = 900 * time.Millisecond
	// enrollInterval is the time between two enrollments of a control daemon.
	enrollInterval = time.Second
	// replacementPoll is the time between two enrollments of a voter that shuts down.
	replacementPoll = 100 * time.Millisecond
	// gatewaySnapshotBytes keeps the log small on the small disks of control daemons.
	gatewaySnapshotBytes = 2 << 20
	// backendDialTimeout bounds a connection attempt to a backend server, which is
	// a few milliseconds away.
	backendDialTimeout = 400 * time.Millisecond
	// closeTimeout bounds the shutdown of the HTTP servers.
	closeTimeout = 300 * time.Millisecond
)

// HTTPServer serves the connections of a listener.
type HTTPServer interface {
	Serve(ln net.Listener) error
	ShutdownWithContext(ctx context.Context) error
}

// Endpoint is one HTTP listener of a gateway.
type Endpoint struct {
	Address string
	Server  HTTPServer
	// Callers is set for the listener of callers. A graceful shutdown closes it before it
	// waits for requests in progress, and the other listeners at its end.
	Callers bool
}

// Gateway is one daemon with the role control or entry.
type Gateway struct {
	cfg       GatewayConfig
	base      log.Logger
	logger    log.Logger
	telemetry *telemetry.Provider
	node      *peer.Node
	book      *discovery.AddressBook
	leader    *entry.LeaderClient
	state     *entry.State
	agent     *entry.Agent
	control   *controlRole
	ingress   *ingress.Server
	forwarder *backend.Forwarder
	account   *intake.Account
	refusals  *intake.Refusals

	mu        sync.Mutex
	endpoints []Endpoint
	stopping  bool
	// enrolling serialises enrollments, so that the newest one says whether this daemon
	// shuts down.
	enrolling sync.Mutex
}

// NewGateway binds the peer address of a daemon and builds its role. Then mount
// endpoints and call Run.
func NewGateway(cfg GatewayConfig) (*Gateway, error) {
	g := &Gateway{cfg: cfg, base: cfg.Logger, logger: logging.For(cfg.Logger, "daemon"), book: discovery.NewAddressBook(cfg.Seeds)}
	provider, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	g.telemetry = provider
	if err := telemetry.RegisterProcess(provider.Meter()); err != nil {
		return nil, err
	}
	g.account = newAccount(cfg.Memory, cfg.Descriptors)
	if g.refusals, err = intake.NewRefusals(provider.Meter(), g.account); err != nil {
		return nil, err
	}
	g.node, err = peer.Start(peer.Config{
		Address:          cmp.Or(cfg.PeerListen, cfg.PeerAddress),
		Source:           cfg.PeerSource,
		Secret:           []byte(cfg.Secret.Reveal()),
		Logger:           cfg.Logger,
		Meter:            provider.Meter(),
		IdleTimeout:      gatewayIdleTimeout,
		HandshakeTimeout: gatewayIdleTimeout,
		DialTimeout:      gatewayDialTimeout,
		MaxPending:       maxPendingLinks(cfg.Descriptors),
		RefuseUntilOpen:  true,
	})
	if err != nil {
		return nil, errs.Wrap(err, "start peer links", cfg.PeerAddress)
	}
	g.leader = entry.NewLeaderClient(g.node, g.book)
	if err := g.build(); err != nil {
		_ = g.node.Close()
		return nil, err
	}
	return g, nil
}

func (g *Gateway) build() error {
	// Each start gets a new entry ID: a host without a disk can't order its
	// incarnations by a wall clock that may step back.
	info := api.EntryInfo{
		ID:            api.EntryID(g.cfg.Name + "-" + strconv.FormatUint(uint64(rand.Uint32()), 36)),
		Incarnation:   1,
		Domain:        g.cfg.Domain,
		CallerAddress: g.cfg.CallerAddress,
		PeerAddress:   g.cfg.PeerAddress,

		ForwardAddress: g.cfg.ForwardAddress,
	}
	g.state = entry.NewState(info, clock.Boot{})
	g.agent = entry.NewAgent(entry.AgentConfig{
		State:         g.state,
		Control:       g.leader,
		Clock:         clock.Boot{},
		Logger:        logging.For(g.base, "entry"),
		RenewInterval: gatewayRenewInterval,
		// Nothing waits for the report of an applied view.
		ReportDelay: gatewayRenewInterval,
		WatchWait:   gatewayRenewInterval * renewalsPerWatch,
		WatchDelay:  gatewayWatchDelay,
		OnMembers:   func(members []string) { g.book.SetMembers(members) },
		OnSnapshot:  g.apply,
		ApplyUpdate: control.ApplyUpdate,
	})
	if g.cfg.Role == config.RoleControl {
		return g.buildControl()
	}
	g.buildEntry(info)
	return nil
}

func (g *Gateway) buildControl() error {
	voter := api.VoterID(hostOf(g.cfg.PeerAddress))
	members := seedMembership(g.cfg.Seeds)
	bootstrap := g.cfg.Bootstrap && isMember(members, voter)
	if !bootstrap {
		members = consensus.Membership{}
	}
	role, err := newControlRole(controlConfig{
		voter:          voter,
		address:        g.cfg.PeerAddress,
		dataDir:        g.cfg.DataDir,
		bootstrap:      bootstrap,
		trustBootstrap: bootstrap,
		members:        members,
		snapshotBytes:  gatewaySnapshotBytes,
		node:           g.node,
		logger:         g.base,
		policy:         g.cfg.Policy,
		sender:         g.cfg.Orders,
		service: control.Config{
			Meter:              g.telemetry.Meter(),
			LeaseDuration:      gatewayWorkLease,
			DetectionBound:     g.cfg.Policy.DetectionBound,
			AnnounceGrace:      g.cfg.AnnounceGrace,
			DisableShardLeases: true,
			Voters:             g.cfg.Voters,
		},
	})
	g.control = role
	return err
}

// seedMembership returns the initial membership of a new system: the seeds, which are
// the same at every daemon. A voter's ID is the host part of its address.
func seedMembership(seeds []string) consensus.Membership {
	var m consensus.Membership
	for _, seed := range seeds {
		m.Members = append(m.Members, consensus.Member{
			ID:          api.VoterID(hostOf(seed)),
			Address:     seed,
			Incarnation: consensus.BootstrapIncarnation,
		})
	}
	return m
}

func isMember(m consensus.Membership, id api.VoterID) bool {
	for _, member := range m.Members {
		if member.ID == id {
			return true
		}
	}
	return false
}

// hostOf returns the host of "ip:port".
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

func (g *Gateway) buildEntry(info api.EntryInfo) {
	g.cfg.Ingress.Memory = g.cfg.Memory
	g.forwarder = backend.NewForwarder(backend.Config{DialTimeout: backendDialTimeout, Source: net.ParseIP(g.cfg.ServerSource)})
	g.ingress = ingress.New(ingress.Config{
		Self:      info,
		State:     g.state,
		Control:   g.leader,
		Peers:     g.node,
		Backends:  g.forwarder,
		Dialect:   g.cfg.Dialect,
		Logger:    g.base,
		Settings:  g.cfg.Ingress,
		ApplyView: g.agent.ApplyNewer,
		Meter:     g.telemetry.Meter(),
		Account:   g.account,
		Refusals:  g.refusals,

		ForwardSecret: []byte(g.cfg.Secret.Reveal()),
	})
	g.ingress.Register(g.node)
	if g.cfg.ForwardAddress != "" {
		g.Mount(Endpoint{Address: g.cfg.ForwardAddress, Server: g.ingress.ForwardedHTTP()})
	}
}

// apply passes a new view to the request path.
func (g *Gateway) apply(snapshot *entry.Snapshot) {
	if g.ingress != nil {
		g.ingress.Apply(snapshot)
	}
}

// Callers returns the HTTP server of the request path. Call it only with the role entry.
func (g *Gateway) Callers() HTTPServer { return g.ingress.HTTP() }

// NewHTTP returns a server that shares the account of the daemon's callers.
func (g *Gateway) NewHTTP(cfg intake.Config) HTTPServer {
	cfg.Account, cfg.Refusals, cfg.Logger = g.account, g.refusals, logging.For(g.base, "daemon")
	return intake.NewServer(cfg)
}

// Metrics returns a handler that serves the metrics as text.
func (g *Gateway) Metrics() fasthttp.RequestHandler { return g.telemetry.Handler() }

// Mount adds a listener. Call it before Run.
func (g *Gateway) Mount(e Endpoint) { g.endpoints = append(g.endpoints, e) }

// SetSeeds replaces the seeds.
func (g *Gateway) SetSeeds(seeds []string) {
	if g.book.SetSeeds(seeds) {
		level.Info(g.logger).Log("msg", "Seeds changed", "seeds", len(seeds))
	}
}

// Run runs the daemon until ctx ends, then shuts down gracefully.
func (g *Gateway) Run(ctx context.Context) error {
	defer g.close()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, work := errgroup.WithContext(work)
	for _, e := range g.endpoints {
		listener, err := net.Listen("tcp", e.Address)
		if err != nil {
			return errs.Wrap(err, "listen", e.Address)
		}
		group.Go(func() error { return errs.Wrap(e.Server.Serve(listener), "serve HTTP", e.Address) })
	}
	g.start(work, group)
	g.node.Open()
	level.Info(g.logger).Log("msg", "Started", "name", g.cfg.Name, "role", g.cfg.Role, "domain", g.cfg.Domain,
		"peer_address", g.cfg.PeerAddress, "caller_address", g.cfg.CallerAddress, "seeds", len(g.cfg.Seeds), "bootstrap", g.cfg.Bootstrap)
	group.Go(func() error {
		select {
		case <-ctx.Done():
			g.shutDown(stop)
		case <-work.Done():
			stop()
			g.closeEndpoints(true)
		}
		return nil
	})
	err := group.Wait()
	level.Info(g.logger).Log("msg", "Stopped", "name", g.cfg.Name, "err", err)
	return err
}

func (g *Gateway) start(ctx context.Context, group *errgroup.Group) {
	if g.control != nil {
		g.control.start(ctx, group)
		group.Go(func() error { return g.agent.RunAnnouncements(ctx) })
		group.Go(func() error { return g.enrollLoop(ctx) })
		return
	}
	group.Go(func() error { return g.agent.Run(ctx) })
	group.Go(func() error { return g.ingress.Run(ctx) })
}

// enrollLoop reports this control daemon to the leader and learns the members, every
// enrollInterval.
func (g *Gateway) enrollLoop(ctx context.Context) error {
	ticker := time.NewTicker(enrollInterval)
	defer ticker.Stop()
	failing := false
	for {
		failing = g.enroll(ctx, failing)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (g *Gateway) enroll(ctx context.Context, failing bool) bool {
	response, err := g.callEnroll(ctx)
	switch {
	case err != nil && !failing:
		level.Warn(g.logger).Log("msg", "Control leader unreachable", "leader", g.leader.Leader(), "err", err)
	case err == nil && failing:
		level.Info(g.logger).Log("msg", "Control leader reachable again", "leader", g.leader.Leader())
	}
	if err == nil {
		g.book.SetMembers(response.Members)
	}
	return err != nil
}

// callEnroll sends one enrollment.
func (g *Gateway) callEnroll(ctx context.Context) (api.EnrollResponse, error) {
	g.enrolling.Lock()
	defer g.enrolling.Unlock()
	ctx, cancel := context.WithTimeout(ctx, gatewayCallTimeout)
	defer cancel()
	request := api.EnrollRequest{
		Voter: api.VoterID(hostOf(g.cfg.PeerAddress)), Address: g.cfg.PeerAddress, Domain: g.cfg.Domain, Leaving: g.isStopping(),
	}
	var response api.EnrollResponse
	err := g.leader.Call(ctx, api.MethodEnroll, request, &response)
	return response, err
}

func (g *Gateway) isStopping() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopping
}

// awaitReplacement keeps this voter running until another control daemon has taken
// its place, so that the members never lack a voter that may be lost next. It
// returns at once if no daemon can take it.
func (g *Gateway) awaitReplacement(ctx context.Context) {
	started := time.Now()
	for {
		response, err := g.callEnroll(ctx)
		switch {
		case err == nil && !response.Replacing:
			level.Info(g.logger).Log("msg", "Leaving the members", "after", time.Since(started))
			return
		case errs.Is(err, errs.Invalid):
			// The leader runs a version that replaces a voter only after its loss.
			level.Warn(g.logger).Log("msg", "Leader refused to replace this voter", "leader", g.leader.Leader(), "err", err)
			return
		case err != nil:
			level.Warn(g.logger).Log("msg", "Leaving the members not reported, retrying", "leader", g.leader.Leader(), "err", err)
		}
		if !clock.Sleep(ctx, replacementPoll) {
			level.Warn(g.logger).Log("msg", "Not replaced within the grace period", "after", time.Since(started))
			return
		}
	}
}

// shutDown transfers the leadership of a control daemon and lets a successor take its
// place among the voters. An entry leaves the directory,
// serves callers that cached its address for the lame-duck period, waits for requests
// in progress and releases its work lease. stop ends the loops of the daemon.
func (g *Gateway) shutDown(stop func()) {
	g.mu.Lock()
	g.stopping = true
	g.mu.Unlock()
	level.Info(g.logger).Log("msg", "Shutting down", "stay", g.cfg.LameDuckPeriod, "grace", g.cfg.Grace)
	ctx, cancel := context.WithTimeout(context.Background(), g.cfg.Grace)
	defer cancel()
	if g.control != nil {
		g.control.resign(ctx)
		g.awaitReplacement(ctx)
		stop()
		g.closeEndpoints(true)
		return
	}
	g.drain(ctx)
	// A renewal after the release would take the lease again.
	stop()
	var last sync.WaitGroup
	last.Go(func() { g.release(ctx) })
	last.Go(func() { g.closeEndpoints(true) })
	last.Wait()
}

// drain ends the work of an entry: it leaves the directory, and after the lame-duck period
// waits for the requests in progress.
func (g *Gateway) drain(ctx context.Context) {
	exit, _ := ctx.Deadline()
	g.ingress.BeginShutdown(exit, g.cfg.LeastRequestTime)
	g.state.SetLeaving()
	reportCtx, cancel := context.WithCancel(ctx)
	var report sync.WaitGroup
	report.Go(func() {
		if err := callWithTimeout(reportCtx, g.agent.Renew); err != nil {
			level.Warn(g.logger).Log("msg", "Shutdown not reported to control", "err", err)
		}
	})
	clock.Sleep(ctx, g.cfg.LameDuckPeriod)
	g.closeEndpoints(false)
	g.ingress.Drain(ctx)
	if n := g.ingress.Active(); n > 0 && ctx.Err() != nil {
		level.Warn(g.logger).Log("msg", "Requests still in progress at the end of the grace period", "count", n)
		g.ingress.Cut()
	}
	cancel()
	report.Wait()
}

// release returns the work lease. Without it the leader waits for its expiry.
func (g *Gateway) release(ctx context.Context) {
	if ctx.Err() != nil {
		level.Warn(g.logger).Log("msg", "Work lease not released", "reason", "the grace period is over")
		return
	}
	release := func(ctx context.Context) error { return g.agent.Release(ctx, true) }
	if err := callWithTimeout(ctx, release); err != nil {
		level.Warn(g.logger).Log("msg", "Work lease not released", "err", err)
	}
}

// closeEndpoints shuts down the callers' endpoints, or every endpoint if all is set. At the
// end it also lets the last refusals be written.
func (g *Gateway) closeEndpoints(all bool) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	var closing sync.WaitGroup
	for _, e := range g.endpoints {
		if !e.Callers && !all {
			continue
		}
		// Connections that are still open are closed when the process exits.
		closing.Go(func() { _ = e.Server.ShutdownWithContext(ctx) })
	}
	if all && g.ingress != nil {
		closing.Go(func() { g.ingress.Drain(ctx) })
	}
	closing.Wait()
}

func (g *Gateway) close() {
	if g.control != nil {
		g.control.close()
	}
	if err := g.node.Close(); err != nil {
		level.Warn(g.logger).Log("msg", "Closing peer links failed", "err", err)
	}
	if g.forwarder != nil {
		g.forwarder.Close()
	}
	_ = g.telemetry.Close(context.Background())
}
