package shard

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/entry"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/logging"
	"github.com/crocusway/crocusway/internal/peer"
)

const (
	// callMargin is added to the wait of an acquire call to cover its transport;
	// tryTimeout bounds a call that does not wait.
	callMargin = time.Second
	tryTimeout = 300 * time.Millisecond
	// waitSlice bounds the wait in one of several queues before the others are
	// tried again.
	waitSlice = 500 * time.Millisecond
	// leaseCheckPeriod is the time between two checks of the lease of a shard in
	// whose queue a request waits.
	leaseCheckPeriod = 100 * time.Millisecond
	// retryDelay is the delay before an acquire reads the view again; it doubles
	// up to maxRetryDelay.
	retryDelay    = 20 * time.Millisecond
	maxRetryDelay = 160 * time.Millisecond
)

// Client acquires, renews and settles grants for this entry. It is safe for
// concurrent use.
type Client struct {
	cfg    Config
	logger log.Logger
	// local handles the calls for shards that this entry owns.
	local *Manager
	// reporting is set while a report to the owner of a shard is in progress.
	reporting map[api.ShardID]bool
	mu        sync.Mutex
	held      *HeldGrants
	backoffs  map[backoffKey]backoff
}

// Request is a request for one grant.
type Request struct {
	ServingGroup api.ServingGroupName
	ID           api.RequestID
	Account      api.AccountID
	// PrefixHashes are hashes of the leading prompt blocks, longest last.
	PrefixHashes []uint64
	// Wait bounds the total time in queues.
	Wait time.Duration
	// Exclude lists the replicas that were already tried.
	Exclude []api.GroupID
	// Alone requires a replica that runs no other request.
	Alone bool
	// Revocable is set when the request can be stopped and resumed later.
	Revocable bool
	// Resumed is set for a request that was already running.
	Resumed bool

	// startedAt is when the wait began; remaining is the rest of it.
	startedAt time.Time
	remaining time.Duration
}

// Result describes how the work of a grant ended.
type Result struct {
	Outcome api.Outcome
	// Failed is set when the replica broke the connection or answered 5xx.
	Failed bool
	// FirstToken is the time to the first token, 0 if none arrived.
	FirstToken time.Duration
}

// newClient returns a client that holds no grant.
func newClient(cfg Config, local *Manager) *Client {
	return &Client{
		cfg:       cfg,
		local:     local,
		logger:    logging.For(cfg.Logger, "grants"),
		reporting: map[api.ShardID]bool{},
		held:      NewHeldGrants(),
		backoffs:  map[backoffKey]backoff{},
	}
}

// Acquire returns a grant from the best shard of the serving group. It fails
// with errs.Full when no slot became free within the wait, and with
// errs.Unavailable when no replica is available; both carry RetryAfterMillis.
func (c *Client) Acquire(ctx context.Context, r Request) (api.Grant, error) {
	r.startedAt = c.cfg.Clock.Now()
	deadline := r.startedAt.Add(r.Wait)
	for wait := retryDelay; ; wait = min(2*wait, maxRetryDelay) {
		g, err := c.acquireOnce(ctx, r, deadline)
		if err == nil || !retryable(err) || ctx.Err() != nil {
			return g, err
		}
		if !c.cfg.Clock.Now().Add(wait).Before(deadline) {
			return api.Grant{}, err
		}
		if errs.Is(err, errs.Full) {
			wait = retryDelay
		}
		if !clock.Sleep(ctx, wait) {
			return api.Grant{}, errs.Wrap(ctx.Err(), "acquire grant", "")
		}
	}
}

// retryable reports whether a newer view or another queue may give another
// result.
func retryable(err error) bool {
	var e *errs.Error
	if errors.As(err, &e) && e.Code == errs.Full {
		return e.Detail != detailFinal
	}
	return errs.Is(err, errs.Stale) || errs.Is(err, errs.Unavailable) || errs.Is(err, errs.Timeout)
}

// acquireOnce tries every shard without waiting, and then waits in the queue of
// the best one.
func (c *Client) acquireOnce(ctx context.Context, r Request, deadline time.Time) (api.Grant, error) {
	leases := c.candidates(r)
	if len(leases) == 0 {
		err := errs.New(errs.Unavailable, "acquire grant", "", "no replica of serving group %s is available", r.ServingGroup)
		err.RetryAfterMillis = time.Second.Milliseconds()
		return api.Grant{}, err
	}
	if len(leases) > 1 {
		if g, ok := c.tryWithoutWait(ctx, r, leases); ok {
			return g, nil
		}
	}
	// The refusals just received carry the expected waits.
	c.sortByExpectedWait(leases, r.Account)
	r.remaining = max(0, deadline.Sub(c.cfg.Clock.Now()))
	wait := r.remaining
	if len(leases) > 1 {
		wait = min(wait, waitSlice)
	}
	return c.acquireFrom(ctx, r, leases[0], wait)
}

func (c *Client) tryWithoutWait(ctx context.Context, r Request, leases []api.ShardLease) (api.Grant, bool) {
	for _, lease := range leases {
		if c.inBackoff(backoffKey{lease.Shard, r.Account}) {
			continue
		}
		if g, err := c.acquireFrom(ctx, r, lease, 0); err == nil {
			return g, true
		}
	}
	return api.Grant{}, false
}

// candidates returns the usable shards: that of the own failure domain first,
// the others by increasing expected wait.
func (c *Client) candidates(r Request) []api.ShardLease {
	s := c.cfg.View.Snapshot()
	var own, others []api.ShardLease
	for _, lease := range s.Shards {
		if lease.Shard.ServingGroup != r.ServingGroup || !usable(s, lease.Shard, r.Exclude) {
			continue
		}
		if lease.Shard.Domain == c.cfg.Self.Domain {
			own = append(own, lease)
			continue
		}
		others = append(others, lease)
	}
	c.sortByExpectedWait(others, r.Account)
	return append(own, others...)
}

// usable reports whether a shard has a replica available for the request.
func usable(s *entry.Snapshot, id api.ShardID, exclude []api.GroupID) bool {
	if s.Drained(id.Domain) {
		return false
	}
	for _, g := range s.ShardGroups(id) {
		if g.Phase == api.GroupReady && !g.Leaving && !contains(exclude, g.ID) {
			return true
		}
	}
	return false
}

func contains(ids []api.GroupID, id api.GroupID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// acquireFrom sends one acquire call to the owner of a shard.
func (c *Client) acquireFrom(ctx context.Context, r Request, lease api.ShardLease, wait time.Duration) (api.Grant, error) {
	params := api.AcquireRequest{
		Shard:          lease.Shard,
		Epoch:          lease.Epoch,
		Entry:          c.cfg.Self.ID,
		Incarnation:    c.cfg.Self.Incarnation,
		Request:        r.ID,
		Account:        r.Account,
		PrefixHashes:   r.PrefixHashes,
		WaitMillis:     wait.Milliseconds(),
		WaitedMillis:   c.cfg.Clock.Now().Sub(r.startedAt).Milliseconds(),
		PatienceMillis: r.remaining.Milliseconds(),
		Exclude:        r.Exclude,
		Alone:          r.Alone,
		Revocable:      r.Revocable,
		Resumed:        r.Resumed,
	}
	sent := c.cfg.Clock.Now()
	res, err := c.callAcquire(ctx, lease, params, wait)
	if err != nil {
		c.recordBackoff(backoffKey{lease.Shard, r.Account}, err)
		return api.Grant{}, err
	}
	return c.addGrant(res.Grant, sent)
}

func (c *Client) callAcquire(ctx context.Context, lease api.ShardLease, params api.AcquireRequest, wait time.Duration) (api.AcquireResponse, error) {
	if c.isLocal(lease) {
		return c.local.Acquire(ctx, params)
	}
	address, err := c.ownerAddress(lease)
	if err != nil {
		return api.AcquireResponse{}, err
	}
	limit := tryTimeout
	if wait > 0 {
		limit = wait + callMargin
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if wait > 0 {
		go c.cancelOnLeaseChange(ctx, cancel, lease)
	}
	var res api.AcquireResponse
	err = c.cfg.Peers.Call(ctx, address, api.MethodAcquire, params, &res)
	if err != nil && !c.isCurrent(lease) {
		err = staleError(lease.Shard)
	}
	return res, err
}

// cancelOnLeaseChange cancels a waiting call when the lease of the shard
// changes, because the previous owner may never answer.
func (c *Client) cancelOnLeaseChange(ctx context.Context, cancel context.CancelFunc, lease api.ShardLease) {
	ticker := time.NewTicker(leaseCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !c.isCurrent(lease) {
			cancel()
			return
		}
	}
}

// isCurrent reports whether the lease is still in the newest view.
func (c *Client) isCurrent(lease api.ShardLease) bool {
	current := c.cfg.View.Snapshot().Shard(lease.Shard)
	return current != nil && *current == lease
}

func (c *Client) isLocal(lease api.ShardLease) bool {
	return lease.Owner == c.cfg.Self.ID
}

func (c *Client) ownerAddress(lease api.ShardLease) (string, error) {
	owner := c.cfg.View.Snapshot().Entry(lease.Owner)
	if owner == nil || !owner.Live {
		return "", errs.New(errs.Unavailable, "find shard owner", string(lease.Owner), "the owner is not live")
	}
	return owner.PeerAddress, nil
}

// addGrant adds a received grant. A grant that must not be used any more,
// because it has expired or a newer owner has been sent a report, is settled
// unused.
func (c *Client) addGrant(g api.Grant, sent time.Time) (api.Grant, error) {
	c.mu.Lock()
	ok := c.held.Add(c.cfg.Clock.Now(), sent, g)
	if ok {
		delete(c.backoffs, backoffKey{g.Shard, g.Account})
	}
	c.mu.Unlock()
	if !ok {
		c.sendSettle(g, Result{Outcome: api.OutcomeNotRun})
		return api.Grant{}, staleError(g.Shard)
	}
	return g, nil
}

// Valid reports whether the grant may be used now. Check it right before a
// request is sent to the replica.
func (c *Client) Valid(g api.Grant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held.Valid(c.cfg.Clock.Now(), g)
}

// Ended returns a channel that is closed when the request must stop because the
// grant was revoked, refused by a new owner or not renewed in time. It returns
// nil for a grant that is not held.
func (c *Client) Ended(g api.Grant) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.held.Ended(g)
}

// Settle removes a grant and sends its result to the owner. It is idempotent.
func (c *Client) Settle(g api.Grant, r Result) {
	c.mu.Lock()
	c.held.Remove(g)
	c.mu.Unlock()
	c.sendSettle(g, r)
}

// Abandon stops renewing a grant and lets it expire at the owner, because its
// work may still run on the replica.
func (c *Client) Abandon(g api.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held.Abandon(g)
}

// IsIdle reports whether no grant is held, including abandoned ones that have
// not expired.
func (c *Client) IsIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held.Expire(c.cfg.Clock.Now())
	return len(c.held.grants) == 0
}

// Revoke stops the request of a grant that its owner revoked.
func (c *Client) Revoke(g api.Grant) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held.Revoke(g)
}

// Register registers the handlers for calls of shard owners.
func (c *Client) Register(r peer.Registrar) {
	r.Handle(api.MethodRevoke, peer.Typed(func(_ context.Context, r api.RevokeRequest) (api.Empty, error) {
		c.Revoke(r.Grant)
		return api.Empty{}, nil
	}))
}

// sendSettle sends a settlement to the current owner. If the message is lost,
// the grant expires, because it is no longer renewed.
func (c *Client) sendSettle(g api.Grant, r Result) {
	lease := c.cfg.View.Snapshot().Shard(g.Shard)
	if lease == nil {
		return
	}
	params := api.SettleRequest{
		Grant:            g,
		Entry:            c.cfg.Self.ID,
		Outcome:          r.Outcome,
		Failed:           r.Failed,
		FirstTokenMicros: r.FirstToken.Microseconds(),
	}
	if c.isLocal(*lease) {
		c.logUndelivered(c.local.Settle(params), g)
		return
	}
	address, err := c.ownerAddress(*lease)
	if err == nil {
		err = c.cfg.Peers.Notify(address, api.MethodSettle, params)
	}
	c.logUndelivered(err, g)
}
