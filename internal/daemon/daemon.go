// Package daemon assembles a crocusway process: peer links, HTTP interface, control
// and entry roles, metrics and graceful shutdown.
package daemon

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/entry"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/intake"
	"github.com/crocusway/crocusway/internal/logging"
	"github.com/crocusway/crocusway/internal/peer"
	"github.com/crocusway/crocusway/internal/telemetry"
)

// Daemon is one process of crocusway. Listen binds its addresses, Run runs it until
// the context ends.
type Daemon struct {
	cfg       config.Serve
	base      log.Logger
	logger    log.Logger
	telemetry *telemetry.Provider
	node      *peer.Node
	backends  *backend.HTTPClient
	listener  net.Listener
	started   time.Time

	leader  *entry.LeaderClient
	control *controlRole
	entry   *entryRole
	http    *intake.Server

	account  *intake.Account
	refusals *intake.Refusals
}

// Listen binds the addresses of a daemon. The kernel chooses a port given as 0;
// CallerAddress and PeerAddress return it. SetVoters may replace the voters of cfg
// before Run.
func Listen(cfg config.Serve, logger log.Logger) (*Daemon, error) {
	d := &Daemon{cfg: cfg, base: logger, logger: logging.For(logger, "daemon"), started: time.Now()}
	provider, err := telemetry.New()
	if err != nil {
		return nil, err
	}
	d.telemetry = provider
	if err := telemetry.RegisterProcess(provider.Meter()); err != nil {
		return nil, err
	}
	d.account = newAccount(cfg.MemoryLimit, 0)
	if d.refusals, err = intake.NewRefusals(provider.Meter(), d.account); err != nil {
		return nil, err
	}
	d.backends = backend.NewClient(backend.Config{Token: cfg.BackendToken.Reveal()})
	d.node, err = peer.Start(peer.Config{
		Address:         cfg.PeerListen,
		Source:          cfg.PeerSource,
		Secret:          []byte(cfg.PeerSecret.Reveal()),
		MaxPending:      maxPendingLinks(0),
		Logger:          logger,
		Meter:           provider.Meter(),
		RefuseUntilOpen: true,
	})
	if err != nil {
		return nil, errs.Wrap(err, "start peer links", cfg.PeerListen)
	}
	d.listener, err = net.Listen("tcp", cfg.CallerListen)
	if err != nil {
		_ = d.node.Close()
		return nil, errs.Wrap(err, "listen for callers", cfg.CallerListen)
	}
	d.resolveAddresses()
	return d, nil
}

// resolveAddresses sets an advertised address that is empty or equal to its listen
// address to the bound address, with the port that the kernel chose.
func (d *Daemon) resolveAddresses() {
	if d.cfg.PeerAddress == "" || d.cfg.PeerAddress == d.cfg.PeerListen {
		d.cfg.PeerAddress = d.node.Addr()
	}
	if d.cfg.CallerAddress == "" || d.cfg.CallerAddress == d.cfg.CallerListen {
		d.cfg.CallerAddress = d.listener.Addr().String()
	}
}

// PeerAddress returns the "ip:port" of the links between daemons.
func (d *Daemon) PeerAddress() string { return d.cfg.PeerAddress }

// PeerListener returns the "ip:port" on which the daemon itself accepts links.
func (d *Daemon) PeerListener() string { return d.node.Addr() }

// CallerAddress returns the "ip:port" for callers, backend servers and
// operators.
func (d *Daemon) CallerAddress() string { return d.cfg.CallerAddress }

// LinkStats returns the counters of the links to other daemons.
func (d *Daemon) LinkStats() peer.Stats { return d.node.Stats() }

// Name returns the name of the daemon.
func (d *Daemon) Name() string { return d.cfg.Name }

// SetVoters replaces the voters. Call it before Run.
func (d *Daemon) SetVoters(voters []config.Voter) { d.cfg.Voters = voters }

// ErrAbort as the cause of a cancelled context makes Run return at once, without
// a graceful shutdown, as after a crash of the process.
var ErrAbort = errors.New("abort")

// Run runs the daemon until ctx ends, then shuts down gracefully: requests in
// progress get the shutdown timeout to finish. It returns the error that ended it
// early.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.close()
	d.leader = entry.NewLeaderClient(d.node, entry.Voters(d.cfg.VoterAddresses()))
	if err := d.assemble(); err != nil {
		return err
	}
	// The roles outlive ctx, so that a graceful shutdown can still reach them.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	g, work := errgroup.WithContext(work)
	d.start(work, g)
	d.node.Open()
	level.Info(d.logger).Log("msg", "started", "name", d.cfg.Name, "caller_address", d.cfg.CallerAddress, "peer_address", d.cfg.PeerAddress)
	g.Go(func() error {
		select {
		case <-ctx.Done():
			if !errors.Is(context.Cause(ctx), ErrAbort) {
				d.shutDown()
			}
		case <-work.Done():
		}
		stop()
		return nil
	})
	err := g.Wait()
	level.Info(d.logger).Log("msg", "stopped", "name", d.cfg.Name)
	return err
}

// assemble builds the roles and the HTTP routes.
func (d *Daemon) assemble() error {
	if d.cfg.Has(config.RoleControl) {
		control, err := newControlRole(d.controlConfig())
		if err != nil {
			return err
		}
		d.control = control
	}
	if d.cfg.Has(config.RoleEntry) {
		d.entry = newEntryRole(d)
		d.mountOperator(d.entry.pipeline.Router())
		d.http = d.entry.pipeline.HTTP()
		return nil
	}
	routes := router.New()
	d.mountOperator(routes)
	d.http = d.newHTTPServer(routes.Handler)
	return nil
}

// start runs every part in its own goroutine of the group.
func (d *Daemon) start(ctx context.Context, g *errgroup.Group) {
	if d.control != nil {
		d.control.start(ctx, g)
	}
	if d.entry != nil {
		d.entry.start(ctx, g)
	}
	g.Go(func() error {
		return errs.Wrap(d.http.Serve(d.listener), "serve HTTP", d.cfg.CallerListen)
	})
	g.Go(func() error {
		<-ctx.Done()
		return d.http.ShutdownWithContext(context.Background())
	})
}

// shutDown drains the entry, then transfers the leadership of control.
func (d *Daemon) shutDown() {
	level.Info(d.logger).Log("msg", "shutting down", "limit", d.cfg.ShutdownTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.ShutdownTimeout)
	defer cancel()
	if d.entry != nil {
		d.entry.shutDown(ctx)
	}
	if d.control != nil {
		d.control.resign(ctx)
	}
}

func (d *Daemon) close() {
	if d.control != nil {
		d.control.close()
	}
	if err := d.node.Close(); err != nil {
		level.Warn(d.logger).Log("msg", "closing peer links failed", "err", err)
	}
	_ = d.listener.Close()
	d.backends.Close()
	_ = d.telemetry.Close(context.Background())
}
