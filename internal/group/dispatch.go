package group

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
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
	result      api.OrderResult
	err         error
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
		if d.Order.Kind == api.OrderAssign {
			o.lastAssign = now
			h.joins.sent(d.Order.Group)
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
	left := d.cfg.Policy.OrderTimeout - d.cfg.Clock.Now().Sub(a.sent)
	if left <= 0 || !d.cfg.Leading() {
		d.finish(nil)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	a.result, a.err = d.cfg.Sender.Send(ctx, address, a.order)
	d.finish(a)
}

func (d *dispatcher) finish(a *answer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
	if a != nil {
		d.answers = append(d.answers, *a)
	}
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
		if a.err != nil {
			level.Debug(r.logger).Log("msg", "Order failed.", "host", a.order.Host, "group", a.order.Group, "err", a.err)
			continue
		}
		r.mem.recordAnswer(&a, &r.cfg.Policy)
		r.mem.settleOrder(&a, now)
	}
}

// settleOrder enters the answer to an order into the account of its replica.
func (m *Memory) settleOrder(a *answer, now time.Time) {
	account, h := m.accounts[a.order.Group], m.hosts[a.order.Host]
	if account == nil || h == nil || !a.result.Accepted || a.result.Host != a.order.Host {
		return
	}
	member := account.member(h.id)
	switch a.order.Kind {
	case api.OrderAssign:
		member.answeredAt = now
	case api.OrderRelease:
		// An order of an earlier term does not make the host refuse those of the terms between.
		if a.memory == m {
			member.left = departure{sent: a.sent, incarnation: a.incarnation, sequence: h.sequence}
		}
	case api.OrderOpen, api.OrderStage:
	}
}

func (j *joinMemory) sent(group api.GroupID) {
	if j.group != group {
		*j = joinMemory{group: group}
	}
	j.unanswered++
}

func (j *joinMemory) answered(group api.GroupID) {
	if j.group == group && j.unanswered > 0 {
		j.unanswered--
	}
}

func (m *Memory) recordAnswer(a *answer, p *Policy) {
	h, ok := m.hosts[a.order.Host]
	if !ok || a.result.Host != a.order.Host {
		return
	}
	if a.order.Kind == api.OrderAssign {
		h.joins.answered(a.order.Group)
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
