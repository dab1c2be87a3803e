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
	// minService is the least service time in estimates, so that a longer queue
	// always means a longer wait.
	minService = 50 * time.Millisecond
	// detailFinal marks refusals that waiting elsewhere would not change.
	detailFinal = "final"
)

// World is what the rules of one shard read of a view.
type ShardView struct {
	Groups  []*api.Group
	Drained bool
	// Entries may hold grants of an earlier owner.
	Entries []api.EntryInfo
	// Bounds are the most that earlier owners granted on replicas, where known.
	Bounds map[api.GroupID]int
}

// Decision is the answer to one ticket: a grant or an error.
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
	// processes holds the newest incarnation of each entry that reported.
	incarnations map[api.EntryID]api.Incarnation
	// certain is set once the end of the handover was applied.
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
	// claimed is reused between calls of claims.
	claimBuffer []int
}

// NewCore returns the state machine of a shard that this process owns from now
// on. Every replica of the first view may carry grants of an earlier owner.
func NewCore(id api.ShardID, t term, s Settings, view ShardView, now time.Time) *Core {
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
func (c *Core) Update(view ShardView) {
	c.drained = view.Drained
	c.ledger.update(view.Groups)
}

// Submit puts a ticket into the queue, or refuses it by a decision of the next
// Advance.
func (c *Core) Submit(t *Ticket) {
	if err := c.admit(t); err != nil {
		c.refuse(t, err)
		return
	}
	c.queue.push(t)
}

// refusal returns why a ticket can't wait, or nil. A ticket that goes before
// the last one in a full queue takes its place.
func (c *Core) admit(t *Ticket) *errs.Error {
	if t.Request.Resumed {
		return nil
	}
	if c.queue.length(t.Request.Account) >= c.settings.AccountQueueLimit {
		return c.finalError(t, "queue of the account is full")
	}
	if err := c.checkDeadline(t); err != nil {
		return err
	}
	if c.queue.size < c.settings.QueueLimit {
		return nil
	}
	last := c.lowestPriority()
	if !c.ledger.precedes(t, last) {
		return c.finalError(t, "queue is full")
	}
	c.removeTicket(last)
	c.refuse(last, c.finalError(last, "queue is full"))
	return nil
}

// lateRefusal refuses a ticket that can't be served before its deadline, by
// the present estimate. A ticket within its share is never refused so.
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

// estimate returns the likely wait of a ticket, 0 without capacity.
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

// ahead returns about how many tickets go before t.
func (c *Core) ticketsAhead(t *Ticket) int {
	n := 0
	for _, a := range c.queue.order {
		if a.id == t.Request.Account || c.ledger.precedes(a.tickets[0], t) {
			n += len(a.tickets)
		}
	}
	return n
}

// last returns the waiting ticket that goes after all others.
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

// full returns the refusal of a ticket that found no slot. An account within its
// share waits for a slot to be given back, whatever the queue.
func (c *Core) fullError(t *Ticket, reason string) *errs.Error {
	err := errs.New(errs.Full, "acquire grant", "", "%s", reason)
	err.RetryAfterMillis = int64(1 + c.queue.length(t.Request.Account))
	if c.ledger.accounts[t.Request.Account] >= t.Share {
		err.RetryAfterMillis = max(1, c.estimate(t).Milliseconds())
	}
	return err
}

// final returns a refusal that waiting elsewhere would not change.
func (c *Core) finalError(t *Ticket, reason string) *errs.Error {
	err := c.fullError(t, reason)
	err.Detail = detailFinal
	return err
}

func (c *Core) refuse(t *Ticket, err *errs.Error) {
	c.decisions = append(c.decisions, Decision{Ticket: t.ID, Err: err})
}

// drop takes a ticket out of the queue and ends its reservation.
func (c *Core) removeTicket(t *Ticket) bool {
	for _, r := range c.ledger.order {
		if r.reserved == t.ID {
			r.reserved = 0
		}
	}
	return c.queue.remove(t)
}

// Cancel takes out a ticket whose caller went away. It reports false when the
// ticket was already decided.
func (c *Core) Cancel(t *Ticket) bool { return c.removeTicket(t) }

// Settle counts a grant out. A repeated settlement changes nothing.
func (c *Core) Settle(now time.Time, s api.SettleRequest) bool {
	c.recordSettled(now, s.Grant)
	h, ok := c.ledger.remove(s.Grant.ID)
	if !ok {
		return false
	}
	c.observeSettlement(now, h, s)
	return true
}

// rememberSettled keeps the id of a grant of an earlier term, so that a late
// report does not count it again.
func (c *Core) recordSettled(now time.Time, g api.Grant) {
	if termOf(g).before(c.term) && !c.handover.ended(now) {
		c.ledger.settled[g.ID] = true
	}
}

// learn draws the conclusions of a settled request.
func (c *Core) observeSettlement(now time.Time, h *issuedGrant, s api.SettleRequest) {
	r := h.replica
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
	r.prefix.add(now, h.blocks)
	c.observeService(now.Sub(h.granted))
}

func (c *Core) observeService(duration time.Duration) {
	if c.service == 0 {
		c.service = duration
		return
	}
	c.service += time.Duration(float64(duration-c.service) * serviceWeight)
}

// Report renews the grants that an entry holds. The first report of an entry
// during a handover also tells this owner which grants of earlier epochs to
// count. It returns the ids that this owner does not count.
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

// noteProcess ends the grants of an entry's former process once a later one
// shows itself.
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

// renew extends a known grant, or counts one of an earlier epoch.
func (c *Core) renew(now time.Time, g api.Grant, from api.ReportRequest, adopt bool) bool {
	expires := now.Add(c.settings.GrantLifetime)
	if h, ok := c.ledger.grants[g.ID]; ok {
		if h.expired || now.After(h.expires) {
			return false
		}
		h.expires = expires
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

// Lapsed returns, once, the grants whose lifetime ran out. Stop their work on
// the engine and then settle them; until then they stay counted.
func (c *Core) Expired() []api.Grant {
	out := c.expired
	c.expired = nil
	return out
}

// Advance moves time forward: it finds expired grants, refuses tickets
// that can't be served and, when mayGrant is set, grants free slots in order
// of priority. The returned slice is valid until the next call.
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

// refuseWaiting refuses tickets past their deadline, and all of them when no
// replica may serve.
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
			c.refuse(t, errs.New(errs.Unavailable, "acquire grant", "", "no replica of shard %s may serve", c.id))
			continue
		}
		c.refuse(t, c.fullError(t, "no free slot within the wait"))
	}
}

// serves reports whether any replica may serve.
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
