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
	// leaveCallLimit bounds each call to control during a graceful shutdown.
	leaveCallLimit = 2 * time.Second
	// heartbeatsPerBound is the number of announcements that a backend server
	// sends within the detection bound.
	heartbeatsPerBound = 4
	// renewalsPerWatch is the number of lease renewals while one watch waits.
	renewalsPerWatch = 3
)

// entryRole takes callers' requests and owns shards.
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
	})
	r.agent = entry.NewAgent(entry.AgentConfig{
		State:         r.state,
		Control:       d.leader,
		Clock:         clock.System{},
		Logger:        logging.For(d.base, "entry"),
		RenewInterval: d.cfg.RenewInterval,
		// A watch that hangs on a lost leader ends when a renewal finds another.
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

// apply hands a new snapshot to the parts that keep state of their own.
func (r *entryRole) apply(snapshot *entry.Snapshot) {
	r.shards.Update(snapshot)
	r.grants.Update(context.Background())
}

// leave takes the entry out of the directory, waits until the calls that it
// took have ended, and tells control that it works no more.
func (r *entryRole) leave(ctx context.Context) {
	r.state.SetLeaving()
	if err := bounded(ctx, r.agent.Renew); err != nil {
		level.Warn(r.agent.Logger()).Log("msg", "control does not know of the shutdown", "err", err)
	}
	finished := make(chan struct{})
	go func() {
		r.pipeline.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
		level.Warn(r.agent.Logger()).Log("msg", "calls are still in progress at the end of the shutdown")
		return
	}
	release := func(ctx context.Context) error { return r.agent.Release(ctx, r.grants.IsIdle()) }
	if err := bounded(ctx, release); err != nil {
		level.Warn(r.agent.Logger()).Log("msg", "work lease was not given back", "err", err)
	}
}

// bounded makes one call to control within leaveCallLimit: without a control
// majority a daemon must still be able to stop.
func bounded(ctx context.Context, call func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, leaveCallLimit)
	defer cancel()
	return call(ctx)
}
