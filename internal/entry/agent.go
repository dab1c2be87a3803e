package entry

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/errs"
)

// DefaultReportDelay is the shortest time between two renewals.
const DefaultReportDelay = 20 * time.Millisecond

// AgentConfig sets up an Agent.
type AgentConfig struct {
	State   *State
	Control ControlCaller
	Clock   clock.Clock
	Logger  log.Logger
	// RenewInterval is the time between two lease renewals.
	RenewInterval time.Duration
	// ReportDelay is the shortest time between two renewals. An applied view is
	// reported after it, ahead of the next renewal that is due anyway; changes
	// within it are reported by one renewal. 0 stands for DefaultReportDelay.
	ReportDelay time.Duration
	// WatchWait is how long the leader may hold back an answer to a watch.
	WatchWait time.Duration
	// WatchGap is the pause after an update before the next watch. Changes within
	// it arrive as one update, so that the leader's work does not grow with the
	// rate of changes times the number of entries.
	WatchGap time.Duration
	// DetectionBound is the silence after which a backend server is reported as
	// silent; 0 reports none.
	DetectionBound time.Duration
	// Service returns the requests counted during failure domain changes; nil
	// counts none.
	Service func() api.ServiceCount
	// OnMembers is called with the peer addresses of the control daemons that each
	// renewal names; nil drops them.
	OnMembers func([]string)
	// OnSnapshot is called after each applied snapshot, in order.
	OnSnapshot func(*Snapshot)
	// ApplyUpdate brings a view up to date; it fails on a gap.
	ApplyUpdate func(api.View, api.ViewUpdate) (api.View, error)
}

// Agent keeps the state of an entry in step with the control role: it renews
// the work lease, watches the view and forwards announcements.
type Agent struct {
	cfg   AgentConfig
	batch *announceBatch

	mu sync.Mutex
	// required is the revision that must be applied before the next renewal
	// extends the lease.
	required api.Revision
	// reported is the newest applied revision that control knows of.
	reported api.Revision
	joined   bool
	// stretch is the factor on intervals that the leader asked for, 1 or more.
	stretch int
	// stretchedBefore is set if the answer before asked for a stretch, too.
	stretchedBefore bool
	// applied wakes the renewal loop after a new view.
	applied chan struct{}
	// applying is held while a view is applied, so that OnSnapshot sees them in order.
	applying sync.Mutex
	// undelivered is set while batches of announcements are not delivered.
	undelivered atomic.Bool
	// cutOff is set while calls find no leader.
	cutOff atomic.Bool
}

// NewAgent returns an agent that does nothing until Run.
func NewAgent(cfg AgentConfig) *Agent {
	cfg.ReportDelay = cmp.Or(cfg.ReportDelay, DefaultReportDelay)
	return &Agent{cfg: cfg, batch: newAnnounceBatch(), stretch: 1, applied: make(chan struct{}, 1)}
}

// Run works until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return a.renewLoop(ctx) })
	g.Go(func() error { return a.watchLoop(ctx) })
	g.Go(func() error { return a.announceLoop(ctx) })
	return g.Wait()
}

// RunAnnouncements forwards announcements until ctx ends, for a daemon that is no
// entry. It replaces Run.
func (a *Agent) RunAnnouncements(ctx context.Context) error { return a.announceLoop(ctx) }

// Announce queues an announcement for the control leader. It never blocks and
// keeps only the newest announcement of a host. While the agent is cut off it fails
// with errs.Unavailable, so that the host goes to another daemon; the announcement is
// queued all the same, since only a delivery shows that the leader is back.
func (a *Agent) Announce(ann api.Announcement) error {
	a.batch.put(ann, a.cfg.Clock.Now())
	if a.CutOff() {
		return errs.New(errs.Unavailable, "announce", "", "no control leader is found")
	}
	return nil
}

// CutOff reports whether the last renewal or delivery of announcements found no
// leader. What hosts announce meanwhile reaches nobody; they should go to another
// entry. A leader that refuses a renewal is found.
func (a *Agent) CutOff() bool { return a.cutOff.Load() }

// noteLeader notes whether a call found the leader.
func (a *Agent) noteLeader(err error) {
	a.cutOff.Store(err != nil && errs.RetryAfterOf(err) == 0)
}

// Renew asks for one extension of the work lease. The lease is counted from
// before the request was sent, so that the entry never believes longer in it
// than the leader does.
func (a *Agent) Renew(ctx context.Context) error {
	sent := a.cfg.Clock.Now()
	request := a.renewal()
	if a.renewalsCarry() {
		request.Announce = a.batch.heartbeats()
	}
	var response api.RenewResponse
	err := a.cfg.Control.Call(ctx, api.MethodRenew, request, &response)
	a.noteLeader(err)
	// A leader that refuses the renewal has counted the heartbeats.
	if request.Announce != nil && errs.RetryAfterOf(err) == 0 {
		a.batch.acknowledge(response.Session)
	}
	if err != nil {
		return err
	}
	if a.cfg.OnMembers != nil {
		a.cfg.OnMembers(response.Members)
	}
	a.extend(sent, request.Applied, response)
	return nil
}

func (a *Agent) renewal() api.RenewRequest {
	info := a.cfg.State.Info
	info.Live = true
	info.Leaving = a.cfg.State.Leaving()
	return api.RenewRequest{Entry: info, Applied: a.cfg.State.Snapshot().Revision, Service: a.service()}
}

// service returns what the renewal tells of failure domain changes.
func (a *Agent) service() *api.ServiceCount {
	if a.cfg.Service == nil {
		return nil
	}
	count := a.cfg.Service()
	if count.Ended == 0 {
		return nil
	}
	return &count
}

// Release gives the work lease back at the end of a graceful shutdown, so that
// the shards of this entry move on at once. The entry must be leaving and do
// no more work. finished tells that no grant is in use either, so that new owners
// of its shards need not wait for what it may hold.
func (a *Agent) Release(ctx context.Context, finished bool) error {
	a.cfg.State.SetLease(time.Time{})
	request := a.renewal()
	request.Release = true
	request.Finished = finished
	return a.cfg.Control.Call(ctx, api.MethodRenew, request, &api.RenewResponse{})
}

// extend sets the lease unless the entry lags behind a revision that an
// earlier renewal named. The first renewal only learns that revision: a
// restarted entry takes no work on an old view.
func (a *Agent) extend(sent time.Time, applied api.Revision, r api.RenewResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reported = max(a.reported, applied)
	required := a.required
	a.required = r.Revision
	if a.cfg.State.Snapshot().Revision >= r.Revision {
		a.cfg.State.Confirm(sent)
	}
	a.stretchedBefore = a.stretch > 1
	a.stretch = max(1, r.Stretch)
	if !a.joined {
		a.joined = true
		return
	}
	if applied < required || r.LeaseMillis <= 0 {
		return
	}
	a.cfg.State.SetLease(sent.Add(time.Duration(r.LeaseMillis) * time.Millisecond))
}

func (a *Agent) renewLoop(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		renewCtx, cancel := context.WithTimeout(ctx, 2*a.stretched(a.cfg.RenewInterval))
		err := a.Renew(renewCtx)
		cancel()
		failing = a.logChange("lease renewal", failing, err)
		a.awaitRenewal(ctx, a.pause(err))
	}
	return nil
}

// awaitRenewal waits for the next renewal: for d, or until a new view was
// applied, which control learns at once, so that a change is in force without
// waiting for the next renewal.
func (a *Agent) awaitRenewal(ctx context.Context, d time.Duration) {
	delay := min(d, a.cfg.ReportDelay)
	wait(ctx, delay)
	timer := time.NewTimer(d - delay)
	defer timer.Stop()
	for !a.reportDue() {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-a.applied:
		}
	}
}

// reportDue reports whether a view was applied that control does not know of.
func (a *Agent) reportDue() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cfg.State.Snapshot().Revision > a.reported
}

// pause returns the time until the next renewal: short until the entry holds a
// lease, so that a start or a new leader costs little time.
func (a *Agent) pause(err error) time.Duration {
	if err != nil || !a.cfg.State.MayWork() {
		return a.cfg.RenewInterval / 10
	}
	return a.stretched(a.cfg.RenewInterval)
}

// renewalsCarry reports whether heartbeats of hosts go with the renewals. They do
// from the second stretched answer on: until then the leader may expect them at
// the shorter interval.
func (a *Agent) renewalsCarry() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stretch > 1 && a.stretchedBefore
}

// stretched returns an interval at the stretch that the leader asked for.
func (a *Agent) stretched(d time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(a.stretch) * d
}

func (a *Agent) watchLoop(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		err := a.Watch(ctx)
		failing = a.logChange("watch", failing, err)
		if err != nil {
			wait(ctx, leaderRetryDelay)
			continue
		}
		wait(ctx, a.cfg.WatchGap)
	}
	return nil
}

// Watch asks once for changes after the applied revision and applies them.
func (a *Agent) Watch(ctx context.Context) error {
	current := a.cfg.State.Snapshot().View
	request := api.WatchRequest{
		Entry:      a.cfg.State.Info.ID,
		From:       current.Revision,
		WaitMillis: a.stretched(a.cfg.WatchWait).Milliseconds(),
	}
	var response api.WatchResponse
	sent := a.cfg.Clock.Now()
	if err := a.cfg.Control.Call(ctx, api.MethodWatch, request, &response); err != nil {
		return err
	}
	if err := a.apply(current, response.Update); err != nil {
		return err
	}
	a.cfg.State.Confirm(sent)
	return nil
}

func (a *Agent) apply(current api.View, update api.ViewUpdate) error {
	if update.To <= current.Revision {
		return nil
	}
	view, err := a.cfg.ApplyUpdate(current, update)
	if err != nil {
		return err
	}
	a.adopt(view)
	return nil
}

// Adopt applies a whole view that another entry has from control. An older one than
// the present is ignored.
func (a *Agent) Adopt(view api.View) {
	if view.Revision > a.cfg.State.Snapshot().Revision {
		a.adopt(view)
	}
}

func (a *Agent) adopt(view api.View) {
	a.applying.Lock()
	defer a.applying.Unlock()
	if !a.cfg.State.Apply(view) {
		return
	}
	if a.cfg.OnSnapshot != nil {
		a.cfg.OnSnapshot(a.cfg.State.Snapshot())
	}
	select {
	case a.applied <- struct{}{}:
	default:
	}
}

// logChange logs the first failure of a row and the recovery from it.
func (a *Agent) logChange(what string, failing bool, err error) bool {
	switch {
	case err != nil && !failing:
		level.Warn(a.cfg.Logger).Log("msg", what+" fails", "err", err)
	case err == nil && failing:
		level.Info(a.cfg.Logger).Log("msg", what+" works again")
	}
	return err != nil
}

// Logger returns the logger of the entry.
func (a *Agent) Logger() log.Logger { return a.cfg.Logger }
