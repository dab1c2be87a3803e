package shard

import (
	"math/rand/v2"
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

const (
	// serviceWeight is the weight of a new sample in the mean service time.
	serviceWeight = 0.1
	// minService is the minimum service time in estimates, so that a longer queue
	// always gives a longer wait.
	minService = 50 * time.Millisecond
	// detailFinal marks refusals that the client does not retry, because a wait
	// in another queue is not expected to help.
	detailFinal = "final"
)

// View is the part of a view that Core uses.
type View struct {
	Groups  []*api.Group
	Drained bool
	// Entries lists the entries that may hold grants of an earlier owner.
	Entries []api.EntryInfo
	// Bounds holds, where known, the most grants that earlier owners may have
	// outstanding on a replica.
	Bounds map[api.GroupID]int
}

// Decision is the result of one ticket: a grant or an error.
type Decision struct {
	Ticket uint64
	Grant  api.Grant
	Err    *errs.Error
}

// Core is the state machine of one shard of one owner in one term. It is not
// safe for concurrent use.
type Core struct {
	id       api.ShardID
	term     term
	settings Settings
	ledger   *ledger
	queue    *queue
	chooser  *chooser
	handover handover
	// incarnations holds the latest incarnation of each entry that reported.
	incarnations map[api.EntryID]api.Incarnation
	// handoverApplied is set once the end of the handover was applied.
	handoverApplied bool
	drained         bool
	rand            *rand.Rand
	grantCount      uint64
	// service is the mean time from grant to settlement, 0 if unknown.
	service       time.Duration
	lastEvaluated time.Time
	decisions     []Decision
	revocations   []Revocation
	expired       []api.Grant
	// claimBuffer is reused between calls of claims.
	claimBuffer []int
}

// NewCore returns the state machine of a newly owned shard. Replicas of the
// first view may have outstanding grants of an earlier owner.
func NewCore(id api.ShardID, t term, s Settings, view View, now time.Time) *Core {
	s = s.withDefaults()
	c := &Core{
		id:           id,
		term:         t,
		settings:     s,
		ledger:       newLedger(s, now),
		queue:        newQueue(),
		chooser:      newChooser(),
		handover:     newHandover(view.Entries, now.Add(s.handoverTimeout())),
		incarnations: map[api.EntryID]api.Incarnation{},
		rand:         rand.New(rand.NewPCG(uint64(t.epoch), uint64(t.incarnation))),
	}
	c.drained = view.Drained
	c.ledger.update(view.Groups)
	c.ledger.assumeUnreported(view.Bounds)
	return c
}

// Update applies a newer view.
func (c *Core) Update(view View) {
	c.drained = view.Drained
	c.ledger.update(view.Groups)
}

// Submit queues a ticket, or refuses it with a decision that the next Advance
// returns.
func (c *Core) Submit(t *Ticket) {
	if err := c.admit(t); err != nil {
		c.refuse(t, err)
		return
	}
	c.queue.push(t)
}

// admit returns an error if a ticket can't be queued. In a full queue, a ticket
// evicts the one with the lowest priority if it precedes it.
func (c *Core) admit(t *Ticket) *errs.Error {
	if t.Request.Resumed {
		return nil
	}
	if c.queue.length(t.Request.Account) >= c.settings.AccountQueueLimit {
		return c.finalError(t, "the queue of the account is full")
	}
	if err := c.checkDeadline(t); err != nil {
		return err
	}
	if c.queue.size < c.settings.QueueLimit {
		return nil
	}
	last := c.lowestPriority()
	if !c.ledger.precedes(t, last) {
		return c.finalError(t, "the queue of the shard is full")
	}
	c.removeTicket(last)
	c.refuse(last, c.finalError(last, "the queue of the shard is full"))
	return nil
}

// checkDeadline returns an error if the estimated wait of a ticket exceeds the
// time that it may wait. A ticket within its share always passes.
func (c *Core) checkDeadline(t *Ticket) *errs.Error {
	wait := max(t.Patience, t.Deadline.Sub(t.Received))
	if wait <= 0 || c.queue.size == 0 || c.ledger.accounts[t.Request.Account] < t.Share {
		return nil
	}
	estimate := c.estimate(t)
	if estimate <= wait {
		return nil
	}
	err := errs.New(errs.Full, "acquire grant", "", "estimated wait of %s exceeds the limit of %s", estimate.Round(time.Millisecond), wait)
	err.RetryAfterMillis = max(1, (estimate - wait).Milliseconds())
	err.Detail = detailFinal
	return err
}

// estimate returns the estimated wait of a ticket, 0 without ready capacity.
func (c *Core) estimate(t *Ticket) time.Duration {
	capacity := 0
	for _, r := range c.ledger.order {
		if r.isReady() {
			capacity += r.limit.value
		}
	}
	if capacity == 0 {
		return 0
	}
	return max(c.service, minService) * time.Duration(c.ticketsAhead(t)+1) / time.Duration(capacity)
}

// ticketsAhead returns the approximate number of tickets that precede t.
func (c *Core) ticketsAhead(t *Ticket) int {
	n := 0
	for _, a := range c.queue.order {
		if a.id == t.Request.Account || c.ledger.precedes(a.tickets[0], t) {
			n += len(a.tickets)
		}
	}
	return n
}

// lowestPriority returns the waiting ticket that every other one precedes.
func (c *Core) lowestPriority() *Ticket {
	var last *Ticket
	for _, a := range c.queue.order {
		tail := a.tickets[len(a.tickets)-1]
		if last == nil || c.ledger.precedes(last, tail) {
			last = tail
		}
	}
	return last
}

// fullError returns the refusal of a ticket that found no slot. The retry hint
// of an account within its share depends only on its own queue, because its
// tickets precede those of accounts above their shares.
func (c *Core) fullError(t *Ticket, reason string) *errs.Error {
	err := errs.New(errs.Full, "acquire grant", "", "%s", reason)
	err.RetryAfterMillis = int64(1 + c.queue.length(t.Request.Account))
	if c.ledger.accounts[t.Request.Account] >= t.Share {
		err.RetryAfterMillis = max(1, c.estimate(t).Milliseconds())
	}
	return err
}

// finalError returns a refusal that the client does not retry.
func (c *Core) finalError(t *Ticket, reason string) *errs.Error {
	err := c.fullError(t, reason)
	err.Detail = detailFinal
	return err
}

func (c *Core) refuse(t *Ticket, err *errs.Error) {
	c.decisions = append(c.decisions, Decision{Ticket: t.ID, Err: err})
}

// removeTicket removes a ticket from the queue and releases its reservation.
func (c *Core) removeTicket(t *Ticket) bool {
	for _, r := range c.ledger.order {
		if r.reserved == t.ID {
			r.reserved = 0
		}
	}
	return c.queue.remove(t)
}

// Cancel removes a ticket whose caller has left. It reports false if the ticket
// was already decided.
func (c *Core) Cancel(t *Ticket) bool { return c.removeTicket(t) }

// Settle removes a grant from the count and reports whether it was counted. A
// repeated settlement changes nothing.
func (c *Core) Settle(now time.Time, s api.SettleRequest) bool {
	c.recordSettled(now, s.Grant)
	ig, ok := c.ledger.remove(s.Grant.ID)
	if !ok {
		return false
	}
	c.observeSettlement(now, ig, s)
	return true
}

// recordSettled records the id of a grant of an earlier term, so that a late
// report does not count it again.
func (c *Core) recordSettled(now time.Time, g api.Grant) {
	if termOf(g).before(c.term) && !c.handover.ended(now) {
		c.ledger.settled[g.ID] = true
	}
}

// observeSettlement updates the limit, the latency, the prefix index and the
// mean service time from a settled request.
func (c *Core) observeSettlement(now time.Time, ig *issuedGrant, s api.SettleRequest) {
	r := ig.replica
	if s.Failed {
		r.limit.fail()
		r.prefix = prefixIndex{}
	}
	if s.Outcome != api.OutcomeComplete || s.Failed {
		return
	}
	r.limit.complete(s.FirstTokenMicros)
	if s.FirstTokenMicros > 0 {
		r.observeLatency(now, s.FirstTokenMicros)
	}
	r.prefix.add(now, ig.blocks)
	c.observeService(now.Sub(ig.granted))
}

func (c *Core) observeService(duration time.Duration) {
	if c.service == 0 {
		c.service = duration
		return
	}
	c.service += time.Duration(float64(duration-c.service) * serviceWeight)
}

// Report renews the grants that an entry holds and returns the ids of those
// that this owner does not count. During a handover it starts to count reported
// grants of earlier terms.
func (c *Core) Report(now time.Time, r api.ReportRequest) []string {
	c.observeIncarnation(now, r.Entry, r.Incarnation)
	var refused []string
	adopt := !c.handover.ended(now)
	for _, g := range r.Grants {
		if !c.renew(now, g, r, adopt) {
			refused = append(refused, g.ID)
		}
	}
	c.handover.reported(r.Entry, r.Incarnation)
	return refused
}

// observeIncarnation expires the grants of earlier incarnations of an entry
// when a report shows that the entry has restarted.
func (c *Core) observeIncarnation(now time.Time, id api.EntryID, incarnation api.Incarnation) {
	latest := c.incarnations[id]
	if incarnation <= latest {
		return
	}
	c.incarnations[id] = incarnation
	if latest > 0 {
		c.ledger.expireEarlierIncarnations(now, id, incarnation)
	}
}

// renew extends a counted grant or, with adopt set, counts one of an earlier
// term. It reports false for a grant that is not counted.
func (c *Core) renew(now time.Time, g api.Grant, from api.ReportRequest, adopt bool) bool {
	expires := now.Add(c.settings.GrantLifetime)
	if ig, ok := c.ledger.grants[g.ID]; ok {
		if ig.expired || now.After(ig.expires) {
			return false
		}
		ig.expires = expires
		return true
	}
	r := c.ledger.replicas[g.Group]
	known := r != nil && r.group.Fencing == g.Fencing
	if !adopt || !termOf(g).before(c.term) || c.ledger.settled[g.ID] || !known {
		return false
	}
	c.ledger.adopt(&issuedGrant{
		grant:       g,
		entry:       from.Entry,
		incarnation: from.Incarnation,
		replica:     r,
		granted:     now,
		expires:     expires,
		stopBy:      now.Add(c.settings.RequestTimeout),
	})
	return true
}

// Expired returns the grants that expired since the last call, and again every
// stopRetryInterval those not yet settled. The caller stops their work on the
// engine and then settles them; until then they stay counted.
func (c *Core) Expired() []api.Grant {
	out := c.expired
	c.expired = nil
	return out
}

// Advance processes the time up to now: it expires grants, refuses tickets that
// can't be served and, when mayGrant is set, grants free slots in order of
// priority and revokes borrowed ones. The returned slice is valid until the
// next call.
func (c *Core) Advance(now time.Time, mayGrant bool) []Decision {
	c.ledger.credits.advance(now, c.ledger.accounts)
	c.expired = append(c.expired, c.ledger.expire(now)...)
	c.endHandover(now)
	c.evaluate(now)
	if mayGrant {
		c.grantAll(now)
		c.reclaimShares(now)
	}
	c.refuseWaiting(now)
	out := c.decisions
	c.decisions = nil
	return out
}

func (c *Core) endHandover(now time.Time) {
	if c.handoverApplied || !c.handover.ended(now) {
		return
	}
	c.handoverApplied = true
	c.ledger.clearUnreported()
}

func (c *Core) evaluate(now time.Time) {
	if now.Sub(c.lastEvaluated) < stragglerPeriod {
		return
	}
	c.lastEvaluated = now
	evaluateStragglers(now, c.ledger.order)
}

// refuseWaiting refuses tickets past their deadline, and all tickets when no
// replica is available.
func (c *Core) refuseWaiting(now time.Time) {
	if c.queue.size == 0 {
		return
	}
	closed := !c.canServe()
	var done []*Ticket
	c.queue.each(func(t *Ticket) {
		if closed || !now.Before(t.Deadline) {
			done = append(done, t)
		}
	})
	for _, t := range done {
		c.removeTicket(t)
		if closed {
			c.refuse(t, errs.New(errs.Unavailable, "acquire grant", "", "no replica of shard %s is available", c.id))
			continue
		}
		c.refuse(t, c.fullError(t, "no slot became free before the deadline"))
	}
}

// canServe reports whether any replica is available for new requests.
func (c *Core) canServe() bool {
	if c.drained {
		return false
	}
	for _, r := range c.ledger.order {
		if r.isReady() {
			return true
		}
	}
	return false
}
