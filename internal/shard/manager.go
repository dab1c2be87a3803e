package shard

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/entry"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/logging"
	"github.com/crocusway/crocusway/internal/peer"
)

// tickPeriod is the time between two checks of deadlines and expiries.
const tickPeriod = 20 * time.Millisecond

// Manager owns the shards that control leased to this entry. It is safe for
// concurrent use.
type Manager struct {
	cfg    Config
	logger log.Logger
	// revokeLocal stops a request of this entry.
	revokeLocal func(api.Grant)
	mu          sync.RWMutex
	shards      map[api.ShardID]*owned
}

// owned is one shard under its own lock.
type owned struct {
	epoch   api.Revision
	mu      sync.Mutex
	core    *Core
	next    uint64
	waiters map[uint64]chan Decision
	// parts is the number of shards that serve the serving group.
	parts int
	// lost is set once another owner may have the shard.
	lost bool
}

// newManager returns a manager without shards; Update gives it some.
func newManager(cfg Config) *Manager {
	return &Manager{
		cfg:    cfg,
		logger: logging.For(cfg.Logger, "shard"),
		shards: map[api.ShardID]*owned{},
	}
}

// Register accepts the calls of other entries.
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

// Tick moves every shard forward to the present time.
func (m *Manager) Tick() {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, o := range m.shards {
		o.mu.Lock()
		m.advance(o)
		o.mu.Unlock()
	}
}

// advance moves a locked shard forward and delivers its decisions.
func (m *Manager) advance(o *owned) {
	for _, d := range o.core.Advance(m.cfg.Clock.Now(), m.cfg.View.MayWork()) {
		if ch := o.waiters[d.Ticket]; ch != nil {
			ch <- d
			delete(o.waiters, d.Ticket)
		}
	}
	m.revoke(o.core.Revocations())
	for _, g := range o.core.Lapsed() {
		go m.stopLapsed(o, g)
	}
}

// stopLapsed stops the work of an expired grant on its engine, and counts the
// grant out once it can't run there any more.
func (m *Manager) stopLapsed(o *owned, g api.Grant) {
	ctx, cancel := context.WithTimeout(context.Background(), stopRepeat)
	defer cancel()
	err := m.cfg.Engines.Cancel(ctx, g.Address, g.Request)
	if err != nil && !errors.Is(err, backend.ErrNotSent) {
		level.Debug(m.logger).Log("msg", "expired request not stopped", "request", g.Request, "err", err)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.core.Settle(m.cfg.Clock.Now(), api.SettleRequest{Grant: g, Outcome: api.OutcomeUnknown})
	m.advance(o)
}

// revoke asks the holders of grants to give them back. A lost message is sent
// again by the core.
func (m *Manager) revoke(revocations []Revocation) {
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

// Update applies a newer view: it takes over shards newly leased to this
// entry, and gives up those leased to another or under a newer epoch.
func (m *Manager) Update(s *entry.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kept := make(map[api.ShardID]bool, len(m.shards))
	for _, lease := range s.Shards {
		if lease.Owner != m.cfg.Self.ID {
			continue
		}
		kept[lease.Shard] = true
		m.updateShard(s, lease)
	}
	for id, o := range m.shards {
		if !kept[id] {
			m.giveUp(id, o)
		}
	}
}

func (m *Manager) updateShard(s *entry.Snapshot, lease api.ShardLease) {
	w := worldOf(s, lease.Shard)
	o := m.shards[lease.Shard]
	if o != nil && o.epoch != lease.Epoch {
		m.giveUp(lease.Shard, o)
		o = nil
	}
	if o == nil {
		t := term{epoch: lease.Epoch, incarnation: m.cfg.Self.Incarnation}
		core := NewCore(lease.Shard, t, m.cfg.Settings, w, m.cfg.Clock.Now())
		o = &owned{epoch: lease.Epoch, core: core, waiters: map[uint64]chan Decision{}}
		m.shards[lease.Shard] = o
		level.Info(m.logger).Log("msg", "took over a shard", "shard", lease.Shard, "epoch", lease.Epoch)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.parts = servingShards(s, lease.Shard.ServingGroup)
	o.core.Update(w)
	m.advance(o)
}

// giveUp ends the ownership of a shard and refuses its waiting requests.
func (m *Manager) giveUp(id api.ShardID, o *owned) {
	delete(m.shards, id)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lost = true
	for ticket, ch := range o.waiters {
		ch <- Decision{Ticket: ticket, Err: staleError(id)}
		delete(o.waiters, ticket)
	}
	level.Info(m.logger).Log("msg", "gave up a shard", "shard", id, "epoch", o.epoch)
}

func staleError(id api.ShardID) *errs.Error {
	return errs.New(errs.Stale, "acquire grant", "", "shard %s has another owner or epoch", id)
}

// worldOf extracts what the rules of one shard read.
func worldOf(s *entry.Snapshot, id api.ShardID) World {
	return World{Groups: s.ShardGroups(id), Drained: s.Drained(id.Domain), Entries: s.Entries}
}

// servingShards counts the shards of a serving group with a ready replica.
func servingShards(s *entry.Snapshot, name api.ServingGroupName) int {
	n := 0
	for _, lease := range s.Shards {
		if lease.Shard.ServingGroup == name && shardServes(s, lease.Shard) {
			n++
		}
	}
	return max(1, n)
}

// shardServes reports whether any replica of the shard may serve.
func shardServes(s *entry.Snapshot, id api.ShardID) bool {
	if s.Drained(id.Domain) {
		return false
	}
	for _, g := range s.ShardGroups(id) {
		if g.Phase == api.GroupReady && !g.Leaving {
			return true
		}
	}
	return false
}

// lookup returns the owned shard at an epoch.
func (m *Manager) lookup(id api.ShardID, epoch api.Revision) (*owned, error) {
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
// replica may serve or this owner has no work lease.
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
		return answer(d)
	case <-ctx.Done():
		m.cancel(o, ticket, ch)
		return api.AcquireResponse{}, errs.Wrap(ctx.Err(), "acquire grant", "")
	}
}

// submit enters a request and moves the shard forward.
func (m *Manager) submit(o *owned, r api.AcquireRequest) (*Ticket, chan Decision, error) {
	now := m.cfg.Clock.Now()
	t := &Ticket{Request: r, Received: now, Deadline: now.Add(time.Duration(r.WaitMillis) * time.Millisecond)}
	account := m.cfg.View.Snapshot().Account(r.Account)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lost {
		return nil, nil, staleError(r.Shard)
	}
	if account != nil {
		t.Class = account.Class
		t.Share = (account.Share + o.parts - 1) / o.parts
	}
	o.next++
	t.ID = o.next
	ch := make(chan Decision, 1)
	o.waiters[t.ID] = ch
	o.core.Submit(t)
	m.advance(o)
	return t, ch, nil
}

// cancel withdraws a ticket, and gives a grant back that came at the same time.
func (m *Manager) cancel(o *owned, t *Ticket, ch chan Decision) {
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

func answer(d Decision) (api.AcquireResponse, error) {
	if d.Err != nil {
		return api.AcquireResponse{}, d.Err
	}
	return api.AcquireResponse{Grant: d.Grant}, nil
}

// Settle gives a grant back. It is idempotent; a grant of an earlier epoch is
// accepted by the present owner.
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
