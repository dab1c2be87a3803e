package daemon

import (
	"context"
	"hash/fnv"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/control"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/group"
	"github.com/crocusway/crocusway/internal/logging"
	"github.com/crocusway/crocusway/internal/peer"
	"github.com/crocusway/crocusway/internal/storage"
)

// trailingDivisor sets how much log is kept after a snapshot for voters that lag:
// 1/trailingDivisor of the snapshot size.
const trailingDivisor = 4

// controlRole runs a voter: its store, the replicated log and state, and the
// control service of the leader.
type controlRole struct {
	store   *storage.Store
	log     *consensus.Server
	state   *control.State
	service *control.Service
	logger  log.Logger
}

// controlConfig holds the settings and dependencies of a voter.
type controlConfig struct {
	voter     api.VoterID
	address   string
	dataDir   string
	bootstrap bool
	// trustBootstrap is set if bootstrap is never set after the loss of a data folder.
	trustBootstrap bool
	members        consensus.Membership
	snapshotBytes  int
	node           *peer.Node
	logger         log.Logger
	policy         group.Policy
	sender         backend.OrderSender
	// service is completed with the log, the state, the clock, the logger, the
	// forecaster and the reconciler.
	service control.Config
}

func (d *Daemon) controlConfig() controlConfig {
	return controlConfig{
		voter:         api.VoterID(d.cfg.Name),
		address:       d.cfg.PeerAddress,
		dataDir:       d.cfg.DataDir,
		bootstrap:     d.cfg.Bootstrap,
		members:       bootstrapMembership(&d.cfg),
		snapshotBytes: d.cfg.SnapshotBytes,
		node:          d.node,
		logger:        d.base,
		policy:        d.policy(),
		sender:        d.backends,
		service: control.Config{
			Meter:          d.telemetry.Meter(),
			LeaseDuration:  d.cfg.WorkLease,
			DetectionBound: d.cfg.DetectionBound,
			Limits:         d.limits(),
		},
	}
}

func newControlRole(c controlConfig) (*controlRole, error) {
	store, err := storage.Open(c.dataDir, storage.Options{Voter: c.voter, Bootstrap: c.bootstrap})
	if err != nil {
		return nil, err
	}
	role, err := buildControl(c, store)
	if err != nil {
		_ = store.Close()
		return nil, err
	}
	return role, nil
}

func buildControl(c controlConfig, store *storage.Store) (*controlRole, error) {
	r := &controlRole{store: store, state: control.NewState(), logger: logging.For(c.logger, "daemon")}
	identity := store.Identity()
	log, err := consensus.NewServer(consensus.ServerConfig{
		ID:           identity.Voter,
		Incarnation:  identity.Incarnation,
		Address:      c.address,
		Bootstrap:    c.members,
		Store:        store,
		Transport:    &transport{from: identity.Voter, node: c.node, logger: logging.For(c.logger, "consensus")},
		StateMachine: r.state,
		Clock:        clock.Boot{},
		Logger:       c.logger,
		Meter:        c.service.Meter,
		Seed:         nameHash(string(c.voter)),

		SnapshotBytes: c.snapshotBytes,
		Core: consensus.CoreConfig{
			TrailingBytes: c.snapshotBytes / trailingDivisor, TrustBootstrap: c.trustBootstrap,
		},
	})
	if err != nil {
		return nil, err
	}
	r.log = log
	reconciler := newReconciler(c, log)
	service := c.service
	service.Log, service.State = log, r.state
	service.Clock, service.Logger = clock.Boot{}, c.logger
	service.Forecaster, service.Reconciler = reconciler.executor, reconciler
	r.service = control.New(service)
	r.service.Register(c.node)
	c.node.Handle(api.MethodConsensus, peer.Typed(r.receive))
	return r, nil
}

// bootstrapMembership returns the initial membership of a new system; it is empty
// without the setting bootstrap.
func bootstrapMembership(cfg *config.Serve) consensus.Membership {
	var m consensus.Membership
	if !cfg.Bootstrap {
		return m
	}
	for _, v := range cfg.Voters {
		m.Members = append(m.Members, consensus.Member{
			ID:          v.ID,
			Address:     v.Address,
			Incarnation: consensus.BootstrapIncarnation,
		})
	}
	return m
}

// nameHash returns the FNV-1a hash of a name. It seeds the election timeouts of a
// daemon and selects the entries that a host is given.
func nameHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// receive passes the messages of another voter to the log.
func (r *controlRole) receive(_ context.Context, batch consensus.MessageBatch) (api.Empty, error) {
	messages, err := consensus.DecodeMessages(batch.Payload)
	if err != nil {
		return api.Empty{}, err
	}
	r.log.Receive(messages)
	return api.Empty{}, nil
}

func (r *controlRole) start(ctx context.Context, g *errgroup.Group) {
	r.log.Start()
	g.Go(func() error { return r.service.Run(ctx) })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			return nil
		case <-r.log.Done():
			return errs.Wrap(r.log.Err(), "run replicated log", "")
		}
	})
}

// resign transfers the leadership, if this voter leads, so that its shutdown costs
// no election timeout.
func (r *controlRole) resign(ctx context.Context) {
	if err := callWithTimeout(ctx, r.log.Resign); err != nil && !errs.Is(err, errs.NotLeader) {
		level.Warn(r.logger).Log("msg", "leadership transfer failed", "err", err)
	}
}

func (r *controlRole) close() {
	r.log.Stop()
	_ = r.store.Close()
}

// transport sends messages of the replicated log over the peer links.
type transport struct {
	from    api.VoterID
	node    *peer.Node
	logger  log.Logger
	dropped atomic.Uint64
}

// Send implements consensus.Transport. The log resends lost messages.
func (t *transport) Send(to consensus.Member, messages []consensus.Message) {
	payload, err := consensus.EncodeMessages(messages)
	if err != nil {
		level.Error(t.logger).Log("msg", "encoding consensus messages failed", "to", to.ID, "err", err)
		return
	}
	batch := consensus.MessageBatch{From: t.from, Payload: payload}
	if err := t.node.Notify(to.Address, api.MethodConsensus, batch); err != nil {
		t.dropped.Add(1)
	}
}

// reconciler adapts group.Reconciler to control.Reconciler.
type reconciler struct {
	executor *group.Reconciler
	log      *consensus.Server
	logger   log.Logger
	// term is the leadership term that the executor's memory belongs to.
	term uint64
}

func newReconciler(c controlConfig, log *consensus.Server) *reconciler {
	return &reconciler{
		log:    log,
		logger: logging.For(c.logger, "group"),
		executor: group.New(group.Config{
			Policy:  c.policy,
			Sender:  termSender{sender: c.sender, log: log},
			Clock:   clock.System{},
			Logger:  c.logger,
			Meter:   c.service.Meter,
			Leading: func() bool { return log.Status().Leading },
		}),
	}
}

// termSender stamps orders with the term of the leadership that sends them.
type termSender struct {
	sender backend.OrderSender
	log    *consensus.Server
}

// Send implements backend.OrderSender.
func (s termSender) Send(ctx context.Context, address string, o api.Order) (api.OrderResult, error) {
	o.Term = s.log.Status().Term
	return s.sender.Send(ctx, address, o)
}

// Reconcile implements control.Reconciler. In a new term it resets the executor:
// another leader may have acted since this voter last led.
func (r *reconciler) Reconcile(ctx context.Context, fleet api.FleetView, store control.GroupStore) {
	if term := r.log.Status().Term; term != r.term {
		r.term = term
		r.executor.Reset()
	}
	if err := r.executor.Reconcile(ctx, fleet, store); err != nil && ctx.Err() == nil {
		level.Debug(r.logger).Log("msg", "group reconciliation failed", "err", err)
	}
}

// presetTabrak names the settings of the second deployment.
const presetTabrak = "tabrak"

// policy returns the planner's settings.
func (d *Daemon) policy() group.Policy {
	p := group.PresetNilecraft()
	if d.cfg.Preset == presetTabrak {
		p = group.PresetTabrak()
	}
	p.DetectionBound = d.cfg.DetectionBound
	p.OrderHorizon = d.cfg.OrderHorizon
	p.Grace = d.cfg.PauseGrace
	p.LoadRate = d.cfg.LoadRate
	p.MaxLoads = d.cfg.ConcurrentLoads
	p.Rebalance = d.cfg.Rebalance
	return p
}

// limits returns the bounds of what control stores.
func (d *Daemon) limits() control.Limits {
	return control.Limits{
		Records: control.RecordLimits{
			MaxRecords:      d.cfg.MaxRecords,
			RetentionMillis: d.cfg.RecordRetention.Milliseconds(),
		},
	}
}
