package daemon

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/control"
	"github.com/crocusway/crocusway/internal/entry"
	"github.com/crocusway/crocusway/internal/logging"
	"github.com/crocusway/crocusway/internal/pipeline"
	"github.com/crocusway/crocusway/internal/shard"
)

const (
	// shutdownCallTimeout bounds each call to control during a graceful shutdown.
	shutdownCallTimeout = 2 * time.Second
	// heartbeatsPerBound is the number of announcements that a backend server
	// sends within the detection bound.
	heartbeatsPerBound = 4
	// renewalsPerWatch is the number of lease renewals while one watch waits.
	renewalsPerWatch = 3
)

// entryRole serves callers' requests and owns shards.
type entryRole struct {
	state            *entry.State
	agent            *entry.Agent
	shards           *shard.Manager
	grants           *shard.Client
	pipeline         *pipeline.Server
	announceInterval time.Duration
}

func newEntryRole(d *Daemon) *entryRole {
	info := api.EntryInfo{
		ID:            api.EntryID(d.cfg.Name),
		Incarnation:   api.Incarnation(d.started.UnixNano()),
		Domain:        d.cfg.Domain,
		CallerAddress: d.cfg.CallerAddress,
		PeerAddress:   d.cfg.PeerAddress,
	}
	r := &entryRole{
		state:            entry.NewState(info, clock.System{}),
		announceInterval: d.cfg.DetectionBound / heartbeatsPerBound,
	}
	r.buildShards(d, info)
	r.pipeline = pipeline.New(pipeline.Config{
		Self:     info,
		State:    r.state,
		Control:  d.leader,
		Grants:   r.grants,
		Backends: d.backends,
		Clock:    clock.System{},
		Logger:   d.base,
		Meter:    d.telemetry.Meter(),
		Settings: pipelineSettings(d),
		Account:  d.account,
		Refusals: d.refusals,
	})
	r.agent = entry.NewAgent(entry.AgentConfig{
		State:         r.state,
		Control:       d.leader,
		Clock:         clock.System{},
		Logger:        logging.For(d.base, "entry"),
		RenewInterval: d.cfg.RenewInterval,
		// A watch that hangs on a lost leader ends when a renewal finds a new leader.
		WatchWait:      d.cfg.RenewInterval * renewalsPerWatch,
		DetectionBound: d.cfg.DetectionBound,
		Service:        r.pipeline.ServiceCount,
		OnSnapshot:     r.apply,
		ApplyUpdate:    control.ApplyUpdate,
	})
	return r
}

func (r *entryRole) buildShards(d *Daemon, info api.EntryInfo) {
	settings := shard.DefaultSettings()
	settings.QueueLimit = d.cfg.QueueLimit
	settings.WorkLease = d.cfg.WorkLease
	settings.RequestTimeout = d.cfg.RequestTimeout
	r.shards, r.grants = shard.New(shard.Config{
		Self:     info,
		View:     r.state,
		Peers:    d.node,
		Engines:  d.backends,
		Clock:    clock.System{},
		Logger:   d.base,
		Meter:    d.telemetry.Meter(),
		Settings: settings,
	})
	r.shards.Register(d.node)
	r.grants.Register(d.node)
}

func pipelineSettings(d *Daemon) pipeline.Settings {
	s := pipeline.DefaultSettings()
	s.MaxHeaderBytes = d.cfg.MaxHeader
	s.MaxBodyBytes = d.cfg.MaxBody
	s.MaxConns = d.cfg.MaxConnections
	s.RequestTimeout = d.cfg.RequestTimeout
	s.RecordRetention = d.cfg.RecordRetention
	return s
}

func (r *entryRole) start(ctx context.Context, g *errgroup.Group) {
	g.Go(func() error { return r.agent.Run(ctx) })
	g.Go(func() error { return r.shards.Run(ctx) })
	g.Go(func() error { return r.grants.Run(ctx) })
}

// apply updates the shard manager and the grant client after a new snapshot.
func (r *entryRole) apply(snapshot *entry.Snapshot) {
	r.shards.Update(snapshot)
	r.grants.Update(context.Background())
}

// shutDown marks the entry as leaving, waits for the calls in progress and releases
// the work lease.
func (r *entryRole) shutDown(ctx context.Context) {
	r.state.SetLeaving()
	if err := callWithTimeout(ctx, r.agent.Renew); err != nil {
		level.Warn(r.agent.Logger()).Log("msg", "shutdown not reported to control", "err", err)
	}
	finished := make(chan struct{})
	go func() {
		r.pipeline.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
		level.Warn(r.agent.Logger()).Log("msg", "calls still in progress at the shutdown timeout")
		return
	}
	release := func(ctx context.Context) error { return r.agent.Release(ctx, r.grants.IsIdle()) }
	if err := callWithTimeout(ctx, release); err != nil {
		level.Warn(r.agent.Logger()).Log("msg", "work lease not released", "err", err)
	}
}

// callWithTimeout bounds one call to control by shutdownCallTimeout: a daemon must be
// able to stop without a control majority.
func callWithTimeout(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownCallTimeout)
	defer cancel()
	return call(ctx)
}
