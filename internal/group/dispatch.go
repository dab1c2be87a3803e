package group

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
)

// dispatcher sends orders outside the reconcile loop and collects their answers. It
// is safe for concurrent use.
type dispatcher struct {
	cfg    *Config
	logger log.Logger

	mu       sync.Mutex
	inFlight int
	answers  []answer
}

// answer is the outcome of one order.
type answer struct {
	order api.Order
	sent  time.Time
	// incarnation is what the host announced when the order was sent, and memory that of the
	// term in which it was.
	incarnation api.Incarnation
	memory      *Memory
	// unsent is set if the order has not left this daemon.
	unsent bool
	result api.OrderResult
	err    error
}

// dispatch sends orders up to the concurrency limit and records them; the rest
// are due again at the next evaluation.
func (r *Reconciler) dispatch(ctx context.Context, orders []Directive, now time.Time) {
	for _, d := range orders {
		if !r.orders.acquire() {
			return
		}
		h := r.mem.host(d.Order.Host)
		o := &h.order
		if o.fencing != d.Order.Fencing || o.kind != d.Order.Kind {
			o.refused = 0
		}
		o.kind, o.fencing, o.sent = d.Order.Kind, d.Order.Fencing, now
		o.model = d.Order.Model
		o.incarnation = h.incarnation
		switch d.Order.Kind {
		case api.OrderAssign:
			o.lastAssign = now
			r.mem.account(d.Order.Group).member(h.id).joins.add(now, r.cfg.Policy.OrderLateness)
		case api.OrderOpen:
			r.mem.account(d.Order.Group).opens.add(now, r.cfg.Policy.OrderLateness)
		case api.OrderRelease, api.OrderStage:
		}
		base := context.WithoutCancel(ctx)
		a := &answer{order: d.Order, sent: now, incarnation: h.incarnation, memory: r.mem}
		r.cfg.Go(func() { r.orders.send(base, d.Address, a) })
	}
}

func (d *dispatcher) acquire() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if limit := d.cfg.Policy.OrderConcurrency; limit > 0 && d.inFlight >= limit {
		return false
	}
	d.inFlight++
	return true
}

// send delivers one order, unless its timeout or the leader lease expired while
// the process was paused.
func (d *dispatcher) send(ctx context.Context, address string, a *answer) {
	defer d.finish(a)
	left := d.cfg.Policy.OrderTimeout - d.cfg.Clock.Now().Sub(a.sent)
	if left <= 0 || !d.cfg.Leading() {
		a.unsent, a.err = true, errOrderDropped
		return
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	a.result, a.err = d.cfg.Sender.Send(ctx, address, a.order)
	a.unsent = errors.Is(a.err, backend.ErrNotSent)
}

var errOrderDropped = errors.New("the order is too old, or this daemon leads no longer")

func (d *dispatcher) finish(a *answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	d.answers = append(d.answers, *a)
}

func (d *dispatcher) drain() []answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	answers := d.answers
	d.answers = nil
	return answers
}

// collectAnswers records the answers to orders in the memory.
func (r *Reconciler) collectAnswers(now time.Time) {
	for _, a := range r.orders.drain() {
		r.mem.settleOrder(&a, now)
		if a.err != nil {
			level.Debug(r.logger).Log("msg", "Order failed.", "host", a.order.Host, "group", a.order.Group, "err", a.err)
			continue
		}
		r.mem.recordAnswer(&a, &r.cfg.Policy)
	}
}

// settleOrder enters the outcome of an order into the account of its replica.
func (m *Memory) settleOrder(a *answer, now time.Time) {
	account := m.accounts[a.order.Group]
	if account == nil {
		return
	}
	member := account.member(a.order.Host)
	switch a.order.Kind {
	case api.OrderAssign:
		member.joins.settle(a)
		if a.err == nil && a.result.Accepted {
			member.answeredAt = now
		}
	case api.OrderOpen:
		account.opens.settle(a)
		if a.err == nil {
			account.openedAt = now
		}
	case api.OrderRelease:
		h := m.hosts[a.order.Host]
		// An order of an earlier term does not make the host refuse those of the terms between.
		if h != nil && a.memory == m && a.err == nil && a.result.Accepted && a.result.Host == a.order.Host {
			member.left = departure{sent: a.sent, at: now, incarnation: a.incarnation, sequence: h.sequence}
		}
	case api.OrderStage:
	}
}

// settle drops an order that was answered or not sent. One without an answer may still be
// carried out.
func (p *pendingOrders) settle(a *answer) {
	if a.err == nil || a.unsent {
		p.remove(a.sent)
		return
	}
	p.expire(a.sent)
}

func (m *Memory) recordAnswer(a *answer, p *Policy) {
	h, ok := m.hosts[a.order.Host]
	if !ok || a.result.Host != a.order.Host {
		return
	}
	if !a.result.Accepted {
		h.recordRefusal(a, p)
		return
	}
	rel := &h.release
	if a.order.Kind != api.OrderRelease || rel.fencing != a.order.Fencing || a.sent.Before(rel.ackSent) {
		return
	}
	rel.acked, rel.ackSent, rel.ackIncarnation = true, a.sent, a.result.Incarnation
}

// recordRefusal counts a refusal of the newest order. A host that refuses an
// assign order maxRefusals times is backed off like one that fails.
func (h *host) recordRefusal(a *answer, p *Policy) {
	if h.order.fencing != a.order.Fencing || h.order.kind != a.order.Kind {
		return
	}
	h.order.refused++
	if a.order.Kind == api.OrderAssign && h.order.refused == maxRefusals {
		h.recordFailure(p, a.sent)
	}
}
