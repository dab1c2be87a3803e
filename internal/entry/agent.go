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

// DefaultReportDelay is the default of AgentConfig.ReportDelay.
const DefaultReportDelay = 20 * time.Millisecond

// AgentConfig configures an Agent.
type AgentConfig struct {
	State   *State
	Control ControlCaller
	Clock   clock.Clock
	Logger  log.Logger
	// RenewInterval is the time between two lease renewals.
	RenewInterval time.Duration
	// ReportDelay is the shortest time between two renewals. A newly applied view
	// triggers a renewal once it has passed, ahead of the regular interval; one
	// renewal reports all changes within it. 0 means DefaultReportDelay.
	ReportDelay time.Duration
	// WatchWait is how long the leader may delay its response to a watch.
	WatchWait time.Duration
	// WatchDelay is the pause between an update and the next watch. It batches
	// changes into one update, so that the leader's work does not grow with the
	// rate of changes times the number of entries.
	WatchDelay time.Duration
	// DetectionBound is the time without an announcement after which a host is
	// reported as silent; 0 disables these reports.
	DetectionBound time.Duration
	// Service returns the requests counted during failure domain changes; nil
	// reports no counts.
	Service func() api.ServiceCount
	// OnMembers is called with the peer addresses of the control daemons that each
	// renewal response lists; nil ignores them.
	OnMembers func([]string)
	// OnSnapshot is called after each applied snapshot, in order.
	OnSnapshot func(*Snapshot)
	// ApplyUpdate applies an update to a view; it fails on a revision gap.
	ApplyUpdate func(api.View, api.ViewUpdate) (api.View, error)
}

// Agent synchronizes the state of an entry with the control role: it renews
// the work lease, watches the view and forwards announcements.
type Agent struct {
	cfg   AgentConfig
	batch *announceBatch

	mu sync.Mutex
	// required is the revision that must be applied before the next renewal
	// extends the lease.
	required api.Revision
	// reported is the newest applied revision that a renewal has reported.
	reported api.Revision
	// joined is set after the first successful renewal.
	joined bool
	// stretch is the factor on intervals that the leader requested, at least 1.
	stretch int
	// wasStretched is set if the previous response also requested a stretch.
	wasStretched bool
	// applied wakes the renewal loop after a view was applied.
	applied chan struct{}
	// applying serializes the application of views, so that OnSnapshot receives
	// them in order.
	applying sync.Mutex
	// announcementsFailing is set while the delivery of announcements fails.
	announcementsFailing atomic.Bool
	// leaderUnreachable is set while calls reach no leader.
	leaderUnreachable atomic.Bool
}

// NewAgent returns an agent that is idle until Run.
func NewAgent(cfg AgentConfig) *Agent {
	cfg.ReportDelay = cmp.Or(cfg.ReportDelay, DefaultReportDelay)
	return &Agent{cfg: cfg, batch: newAnnounceBatch(), stretch: 1, applied: make(chan struct{}, 1)}
}

// Run renews, watches and forwards announcements until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return a.renewLoop(ctx) })
	g.Go(func() error { return a.watchLoop(ctx) })
	g.Go(func() error { return a.announceLoop(ctx) })
	return g.Wait()
}

// RunAnnouncements only forwards announcements until ctx ends. It replaces Run in
// a daemon that is not an entry.
func (a *Agent) RunAnnouncements(ctx context.Context) error { return a.announceLoop(ctx) }

// Announce queues an announcement for the control leader. It never blocks and
// keeps only the newest announcement of a host. While no leader is reachable it
// returns errs.Unavailable, so that the host tries another daemon. The announcement
// is queued even then, since only a delivery shows that the leader is reachable again.
func (a *Agent) Announce(ann api.Announcement) error {
	a.batch.put(ann, a.cfg.Clock.Now())
	if a.LeaderUnreachable() {
		return errs.New(errs.Unavailable, "announce", "", "no control leader found")
	}
	return nil
}

// LeaderUnreachable reports whether the last renewal or delivery of announcements
// reached no leader. Announcements are not delivered meanwhile, so hosts should use
// another daemon. A leader that refuses a call with a retry delay counts as reached.
func (a *Agent) LeaderUnreachable() bool { return a.leaderUnreachable.Load() }

// recordLeaderContact records whether a call that returned err reached the leader.
func (a *Agent) recordLeaderContact(err error) {
	a.leaderUnreachable.Store(err != nil && errs.RetryAfterOf(err) == 0)
}

// Renew requests one extension of the work lease. The lease starts before the
// request is sent, so that it expires on the entry no later than on the leader.
func (a *Agent) Renew(ctx context.Context) error {
	sent := a.cfg.Clock.Now()
	request := a.renewal()
	if a.renewalsCarryHeartbeats() {
		request.Announce = a.batch.heartbeats()
	}
	var response api.RenewResponse
	err := a.cfg.Control.Call(ctx, api.MethodRenew, request, &response)
	a.recordLeaderContact(err)
	// A leader that refuses the renewal has still processed the heartbeats, if it is the one
	// that they were for.
	if request.Announce != nil && errs.RetryAfterOf(err) == 0 {
		a.batch.acknowledge(response.Session)
	}
	if err != nil {
		a.sendHeartbeatsApart()
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

// service returns the request counts of failure domain changes, or nil if there
// are none to report.
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

// Release returns the work lease at the end of a graceful shutdown, so that the
// shards of this entry are reassigned at once. The entry must be leaving and do
// no more work. finished means that no grant is in use either, so that the new
// owners of its shards need not wait for its grants.
func (a *Agent) Release(ctx context.Context, finished bool) error {
	a.cfg.State.SetLease(time.Time{})
	request := a.renewal()
	request.Release = true
	request.Finished = finished
	return a.cfg.Control.Call(ctx, api.MethodRenew, request, &api.RenewResponse{})
}

// extend sets the lease unless the reported revision is older than the one that
// the previous response required. The first renewal only learns the required
// revision, so that a restarted entry takes no work on an old view.
func (a *Agent) extend(sent time.Time, applied api.Revision, r api.RenewResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reported = max(a.reported, applied)
	required := a.required
	a.required = r.Revision
	if a.cfg.State.Snapshot().Revision >= r.Revision {
		a.cfg.State.Confirm(sent)
	}
	a.wasStretched = a.stretch > 1
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
		failing = a.logTransition("lease renewal", failing, err)
		a.awaitRenewal(ctx, a.pause(err))
	}
	return nil
}

// awaitRenewal waits until the next renewal is due: for d, or until a view was
// applied, but at least for the report delay. Reporting a view early lets a change
// take effect without waiting for the regular renewal.
func (a *Agent) awaitRenewal(ctx context.Context, d time.Duration) {
	delay := min(d, a.cfg.ReportDelay)
	clock.Sleep(ctx, delay)
	timer := time.NewTimer(d - delay)
	defer timer.Stop()
	for !a.hasUnreportedView() {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-a.applied:
		}
	}
}

// hasUnreportedView reports whether the applied view has not been reported to control.
func (a *Agent) hasUnreportedView() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.cfg.State.Snapshot().Revision > a.reported
}

// pause returns the time until the next renewal. It is short after a failure or
// without a lease, so that a start or a leader change costs little time.
func (a *Agent) pause(err error) time.Duration {
	if err != nil || !a.cfg.State.MayWork() {
		return a.cfg.RenewInterval / 10
	}
	return a.stretched(a.cfg.RenewInterval)
}

// renewalsCarryHeartbeats reports whether renewals include the heartbeats of hosts.
// They do from the second consecutive stretched response on: until then the leader
// may expect heartbeats at the shorter interval.
func (a *Agent) renewalsCarryHeartbeats() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stretch > 1 && a.wasStretched
}

// sendHeartbeatsApart has announceLoop send the heartbeats until renewals succeed again: the
// answer to a batch names the leader's session, an error does not.
func (a *Agent) sendHeartbeatsApart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.wasStretched = false
}

// stretched multiplies an interval by the factor that the leader requested.
func (a *Agent) stretched(d time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration(a.stretch) * d
}

func (a *Agent) watchLoop(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		err := a.Watch(ctx)
		failing = a.logTransition("watch", failing, err)
		if err != nil {
			clock.Sleep(ctx, leaderRetryDelay)
			continue
		}
		clock.Sleep(ctx, a.cfg.WatchDelay)
	}
	return nil
}

// Watch makes one long poll for changes after the applied revision and applies them.
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
	a.applyView(view)
	return nil
}

// ApplyNewer applies a whole view that another entry received from control. A view that
// is not newer than the present one is ignored.
func (a *Agent) ApplyNewer(view api.View) {
	if view.Revision > a.cfg.State.Snapshot().Revision {
		a.applyView(view)
	}
}

func (a *Agent) applyView(view api.View) {
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

// logTransition logs the first of consecutive failures and the recovery, and
// returns whether the operation is failing now.
func (a *Agent) logTransition(operation string, failing bool, err error) bool {
	switch {
	case err != nil && !failing:
		level.Warn(a.cfg.Logger).Log("msg", operation+" failed", "err", err)
	case err == nil && failing:
		level.Info(a.cfg.Logger).Log("msg", operation+" recovered")
	}
	return err != nil
}

// Logger returns the logger of the entry.
func (a *Agent) Logger() log.Logger { return a.cfg.Logger }
