package shard

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.opentelemetry.io/otel/metric"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/logging"
	"github.com/crocusway/crocusway/internal/peer"
)

// tickPeriod is the time between two checks of deadlines and expiries.
const tickPeriod = 20 * time.Millisecond

// Manager is the owner side of the shards that control leased to this entry. It
// is safe for concurrent use.
type Manager struct {
	cfg    Config
	logger log.Logger
	// revokeLocal stops a request of this entry.
	revokeLocal func(api.Grant)
	metrics     metrics
	mu          sync.RWMutex
	shards      map[api.ShardID]*ownedShard
	// notLiveSince records when each entry was first seen without a work lease.
	notLiveSince map[api.EntryID]time.Time
	// grantBounds bounds the outstanding grants of earlier owners.
	grantBounds grantBounds
}

// ownedShard is one shard with its own lock.
type ownedShard struct {
	epoch      api.Revision
	mu         sync.Mutex
	core       *Core
	lastTicket uint64
	waiters    map[uint64]waiter
	// servingShards is the number of shards that serve the serving group.
	servingShards int
	// lost is set once another owner may have the shard.
	lost bool
	// attributes is the attribute set of the metrics.
	attributes metric.MeasurementOption
}

// newManager returns a manager without shards; Update adds them.
func newManager(cfg Config) *Manager {
	m := &Manager{
		cfg:          cfg,
		logger:       logging.For(cfg.Logger, "shard"),
		shards:       map[api.ShardID]*ownedShard{},
		notLiveSince: map[api.EntryID]time.Time{},
		grantBounds:  grantBounds{},
	}
	var err error
	if m.metrics, err = newMetrics(cfg.Meter); err != nil {
		level.Warn(m.logger).Log("msg", "metrics incomplete", "err", err)
	}
	return m
}

// waiter receives the decision on one ticket.
type waiter struct {
	decision chan Decision
	since    time.Time
}

// Register registers the handlers for calls of other entries.
func (m *Manager) Register(r peer.Registrar) {
	r.Handle(api.MethodAcquire, peer.Typed(m.Acquire))
	r.Handle(api.MethodSettle, peer.Typed(func(_ context.Context, s api.SettleRequest) (api.Empty, error) {
		return api.Empty{}, m.Settle(s)
	}))
	r.Handle(api.MethodReport, peer.Typed(func(_ context.Context, r api.ReportRequest) (api.ReportResponse, error) {
		return m.Report(r)
	}))
}

// Run checks deadlines and expiries until ctx ends.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			m.Tick()
		}
	}
}

// Tick advances every shard to the current time.
func (m *Manager) Tick() {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, o := range m.shards {
		o.mu.Lock()
		m.advance(o)
		o.mu.Unlock()
	}
}

// advance advances a locked shard to the current time and delivers its
// decisions.
func (m *Manager) advance(o *ownedShard) {
	now := m.cfg.Clock.Now()
	for _, d := range o.core.Advance(now, m.cfg.View.MayWork()) {
		w, ok := o.waiters[d.Ticket]
		if !ok {
			continue
		}
		w.decision <- d
		delete(o.waiters, d.Ticket)
		m.metrics.recordDecision(o, d, now.Sub(w.since))
	}
	m.revoke(o.core.Revocations())
	for _, g := range o.core.Expired() {
		m.metrics.expired.Add(context.Background(), 1)
		go m.stopExpired(o, g)
	}
}

// stopExpired stops the work of an expired grant on its engine, and settles the
// grant once it can't run there any more.
func (m *Manager) stopExpired(o *ownedShard, g api.Grant) {
	if g.Shard.ServingGroup.IsService() {
		// A plain service has no cancel call. The grant stays counted until its
		// call has timed out.
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopRetryInterval)
	defer cancel()
	err := m.cfg.Engines.Cancel(ctx, g.Address, g.Request)
	if err != nil && !errors.Is(err, backend.ErrNotSent) {
		level.Debug(m.logger).Log("msg", "failed to stop the request of an expired grant", "request", g.Request, "err", err)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.core.Settle(m.cfg.Clock.Now(), api.SettleRequest{Grant: g, Outcome: api.OutcomeUnknown})
	m.advance(o)
}

// revoke sends revocations to the holders of grants. The core repeats them
// until the grants are settled.
func (m *Manager) revoke(revocations []Revocation) {
	m.metrics.revocations.Add(context.Background(), int64(len(revocations)))
	for _, r := range revocations {
		if r.Entry == m.cfg.Self.ID {
			m.revokeLocal(r.Grant)
			continue
		}
		m.revokeRemote(r)
	}
}

func (m *Manager) revokeRemote(r Revocation) {
	holder := m.cfg.View.Snapshot().Entry(r.Entry)
	if holder == nil {
		return
	}
	err := m.cfg.Peers.Notify(holder.PeerAddress, api.MethodRevoke, api.RevokeRequest{Grant: r.Grant})
	if err != nil {
		level.Debug(m.logger).Log("msg", "revocation not sent", "entry", r.Entry, "err", err)
	}
}

// lookup returns the owned shard, or a stale error under another epoch.
func (m *Manager) lookup(id api.ShardID, epoch api.Revision) (*ownedShard, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	o := m.shards[id]
	if o == nil || o.epoch != epoch {
		return nil, staleError(id)
	}
	return o, nil
}

// Acquire waits for a grant. It fails with errs.Stale under another epoch,
// errs.Full when no slot became free in time, and errs.Unavailable when no
// replica is available or this owner has no work lease.
func (m *Manager) Acquire(ctx context.Context, r api.AcquireRequest) (api.AcquireResponse, error) {
	o, err := m.lookup(r.Shard, r.Epoch)
	if err != nil {
		return api.AcquireResponse{}, err
	}
	if !m.cfg.View.MayWork() {
		return api.AcquireResponse{}, errs.New(errs.Unavailable, "acquire grant", "", "the owner has no work lease")
	}
	ticket, ch, err := m.submit(o, r)
	if err != nil {
		return api.AcquireResponse{}, err
	}
	select {
	case d := <-ch:
		return acquireResponse(d)
	case <-ctx.Done():
		m.cancel(o, ticket, ch)
		return api.AcquireResponse{}, errs.Wrap(ctx.Err(), "acquire grant", "")
	}
}

// submit submits a request and advances the shard.
func (m *Manager) submit(o *ownedShard, r api.AcquireRequest) (*Ticket, chan Decision, error) {
	now := m.cfg.Clock.Now()
	wait := min(time.Duration(r.WaitMillis)*time.Millisecond, m.cfg.Settings.RequestTimeout)
	t := &Ticket{
		Request:  r,
		Received: now,
		Since:    now.Add(-time.Duration(r.WaitedMillis) * time.Millisecond),
		Deadline: now.Add(wait),
		Patience: time.Duration(r.PatienceMillis) * time.Millisecond,
	}
	account := m.cfg.View.Snapshot().Account(r.Account)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lost {
		return nil, nil, staleError(r.Shard)
	}
	if account != nil {
		t.Class = account.Class
		t.Share = (account.Share + o.servingShards - 1) / o.servingShards
	}
	o.lastTicket++
	t.ID = o.lastTicket
	ch := make(chan Decision, 1)
	o.waiters[t.ID] = waiter{decision: ch, since: now}
	o.core.Submit(t)
	m.advance(o)
	return t, ch, nil
}

// cancel cancels a ticket, and settles a grant that was issued at the same
// time.
func (m *Manager) cancel(o *ownedShard, t *Ticket, ch chan Decision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiters, t.ID)
	o.core.Cancel(t)
	select {
	case d := <-ch:
		if d.Err == nil {
			o.core.Settle(m.cfg.Clock.Now(), api.SettleRequest{Grant: d.Grant, Outcome: api.OutcomeNotRun})
		}
	default:
	}
	m.advance(o)
}

func acquireResponse(d Decision) (api.AcquireResponse, error) {
	if d.Err != nil {
		return api.AcquireResponse{}, d.Err
	}
	return api.AcquireResponse{Grant: d.Grant}, nil
}

// Settle ends the use of a grant. It is idempotent; the current owner also
// accepts grants of earlier epochs.
func (m *Manager) Settle(s api.SettleRequest) error {
	m.mu.RLock()
	o := m.shards[s.Grant.Shard]
	m.mu.RUnlock()
	if o == nil {
		return staleError(s.Grant.Shard)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.core.Settle(m.cfg.Clock.Now(), s)
	m.advance(o)
	return nil
}

// Report renews the grants that an entry holds.
func (m *Manager) Report(r api.ReportRequest) (api.ReportResponse, error) {
	o, err := m.lookup(r.Shard, r.Epoch)
	if err != nil {
		return api.ReportResponse{}, err
	}
	if r.OwnerIncarnation != m.cfg.Self.Incarnation {
		return api.ReportResponse{}, staleError(r.Shard)
	}
	if !m.cfg.View.HasLease() {
		return api.ReportResponse{}, errs.New(errs.Unavailable, "report grants", "", "the owner has no work lease")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lost {
		return api.ReportResponse{}, staleError(r.Shard)
	}
	refused := o.core.Report(m.cfg.Clock.Now(), r)
	m.advance(o)
	return api.ReportResponse{RenewMillis: m.cfg.Settings.GrantLifetime.Milliseconds(), Refused: refused}, nil
}
