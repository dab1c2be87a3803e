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
type World struct {
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
	processes map[api.EntryID]api.Incarnation
	// certain is set once the end of the handover was applied.
	certain bool
	drained bool
	rand    *rand.Rand
	grants  uint64
	// service is the mean time from grant to settlement, 0 if unknown.
	service   time.Duration
	evaluated time.Time
	out       []Decision
	revoked   []Revocation
	lapsed    []api.Grant
	// claimed is reused between calls of claims.
	claimed []int
}

// NewCore returns the state machine of a shard that this process owns from now
// on. Every replica of the first view may carry grants of an earlier owner.
func NewCore(id api.ShardID, t term, s Settings, w World, now time.Time) *Core {
	s = s.withDefaults()
	c := &Core{
		id:        id,
		term:      t,
		settings:  s,
		ledger:    newLedger(s, now),
		queue:     newQueue(),
		chooser:   newChooser(),
		handover:  newHandover(w.Entries, now.Add(s.handoverHold())),
		processes: map[api.EntryID]api.Incarnation{},
		rand:      rand.New(rand.NewPCG(uint64(t.epoch), uint64(t.incarnation))),
	}
	c.drained = w.Drained
	c.ledger.update(w.Groups)
	c.ledger.inherit(w.Bounds)
	return c
}

// Update applies a newer view.
func (c *Core) Update(w World) {
	c.drained = w.Drained
	c.ledger.update(w.Groups)
}

// Submit puts a ticket into the queue, or refuses it by a decision of the next
// Advance.
func (c *Core) Submit(t *Ticket) {
	if err := c.refusal(t); err != nil {
		c.refuse(t, err)
		return
	}
	c.queue.push(t)
}

// refusal returns why a ticket can't wait, or nil. A ticket that goes before
// the last one in a full queue takes its place.
func (c *Core) refusal(t *Ticket) *errs.Error {
	if t.Request.Resumed {
		return nil
	}
	if c.queue.length(t.Request.Account) >= c.settings.AccountQueueLimit {
		return c.final(t, "queue of the account is full")
	}
	if err := c.lateRefusal(t); err != nil {
		return err
	}
	if c.queue.size < c.settings.QueueLimit {
		return nil
	}
	last := c.last()
	if !c.ledger.precedes(t, last) {
		return c.final(t, "queue is full")
	}
	c.drop(last)
	c.refuse(last, c.final(last, "queue is full"))
	return nil
}

// lateRefusal refuses a ticket that can't be served before its deadline, by
// the present estimate. A ticket within its share is never refused so.
func (c *Core) lateRefusal(t *Ticket) *errs.Error {
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
	return max(c.service, minService) * time.Duration(c.ahead(t)+1) / time.Duration(capacity)
}

// ahead returns about how many tickets go before t.
func (c *Core) ahead(t *Ticket) int {
	n := 0
	for _, a := range c.queue.order {
		if a.id == t.Request.Account || c.ledger.precedes(a.tickets[0], t) {
			n += len(a.tickets)
		}
	}
	return n
}

// last returns the waiting ticket that goes after all others.
func (c *Core) last() *Ticket {
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
func (c *Core) full(t *Ticket, reason string) *errs.Error {
	err := errs.New(errs.Full, "acquire grant", "", "%s", reason)
	err.RetryAfterMillis = int64(1 + c.queue.length(t.Request.Account))
	if c.ledger.accounts[t.Request.Account] >= t.Share {
		err.RetryAfterMillis = max(1, c.estimate(t).Milliseconds())
	}
	return err
}

// final returns a refusal that waiting elsewhere would not change.
func (c *Core) final(t *Ticket, reason string) *errs.Error {
	err := c.full(t, reason)
	err.Detail = detailFinal
	return err
}

func (c *Core) refuse(t *Ticket, err *errs.Error) {
	c.out = append(c.out, Decision{Ticket: t.ID, Err: err})
}

// drop takes a ticket out of the queue and ends its reservation.
func (c *Core) drop(t *Ticket) bool {
	for _, r := range c.ledger.order {
		if r.reserved == t.ID {
			r.reserved = 0
		}
	}
	return c.queue.remove(t)
}

// Cancel takes out a ticket whose caller went away. It reports false when the
// ticket was already decided.
func (c *Core) Cancel(t *Ticket) bool { return c.drop(t) }

// Settle counts a grant out. A repeated settlement changes nothing.
func (c *Core) Settle(now time.Time, s api.SettleRequest) bool {
	c.rememberSettled(now, s.Grant)
	h, ok := c.ledger.remove(s.Grant.ID)
	if !ok {
		return false
	}
	c.learn(now, h, s)
	return true
}

// rememberSettled keeps the id of a grant of an earlier term, so that a late
// report does not count it again.
func (c *Core) rememberSettled(now time.Time, g api.Grant) {
	if termOf(g).before(c.term) && !c.handover.ended(now) {
		c.ledger.settled[g.ID] = true
	}
}

// learn draws the conclusions of a settled request.
func (c *Core) learn(now time.Time, h *hold, s api.SettleRequest) {
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

func (c *Core) observeService(took time.Duration) {
	if c.service == 0 {
		c.service = took
		return
	}
	c.service += time.Duration(float64(took-c.service) * serviceWeight)
}

// Report renews the grants that an entry holds. The first report of an entry
// during a handover also tells this owner which grants of earlier epochs to
// count. It returns the ids that this owner does not count.
func (c *Core) Report(now time.Time, r api.ReportRequest) []string {
	c.noteProcess(now, r.Entry, r.Incarnation)
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
func (c *Core) noteProcess(now time.Time, id api.EntryID, incarnation api.Incarnation) {
	known := c.processes[id]
	if incarnation <= known {
		return
	}
	c.processes[id] = incarnation
	if known > 0 {
		c.ledger.lapseOlder(now, id, incarnation)
	}
}

// renew extends a known grant, or counts one of an earlier epoch.
func (c *Core) renew(now time.Time, g api.Grant, from api.ReportRequest, adopt bool) bool {
	expires := now.Add(c.settings.GrantLifetime)
	if h, ok := c.ledger.holds[g.ID]; ok {
		if h.lapsed || now.After(h.expires) {
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
	c.ledger.adopt(&hold{
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
func (c *Core) Lapsed() []api.Grant {
	out := c.lapsed
	c.lapsed = nil
	return out
}

// Advance moves time forward: it finds expired grants, refuses tickets
// that can't be served and, when mayGrant is set, grants free slots in order
// of priority. The returned slice is valid until the next call.
func (c *Core) Advance(now time.Time, mayGrant bool) []Decision {
	c.ledger.credits.advance(now, c.ledger.accounts)
	c.lapsed = append(c.lapsed, c.ledger.expire(now)...)
	c.endHandover(now)
	c.evaluate(now)
	if mayGrant {
		c.grantAll(now)
		c.revokeLent(now)
	}
	c.refuseWaiting(now)
	out := c.out
	c.out = nil
	return out
}

func (c *Core) endHandover(now time.Time) {
	if c.certain || !c.handover.ended(now) {
		return
	}
	c.certain = true
	c.ledger.settleInheritance()
}

func (c *Core) evaluate(now time.Time) {
	if now.Sub(c.evaluated) < stragglerPeriod {
		return
	}
	c.evaluated = now
	evaluateStragglers(now, c.ledger.order)
}

// refuseWaiting refuses tickets past their deadline, and all of them when no
// replica may serve.
func (c *Core) refuseWaiting(now time.Time) {
	if c.queue.size == 0 {
		return
	}
	closed := !c.serves()
	var done []*Ticket
	c.queue.each(func(t *Ticket) {
		if closed || !now.Before(t.Deadline) {
			done = append(done, t)
		}
	})
	for _, t := range done {
		c.drop(t)
		if closed {
			c.refuse(t, errs.New(errs.Unavailable, "acquire grant", "", "no replica of shard %s may serve", c.id))
			continue
		}
		c.refuse(t, c.full(t, "no free slot within the wait"))
	}
}

// serves reports whether any replica may serve.
func (c *Core) serves() bool {
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
