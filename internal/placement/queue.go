package placement

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocusway/crocusway/internal/errs"
)

// waiter is a request that waits for a slot.
type waiter struct {
	demand *Demand
	since  time.Time
	// startBy is the latest time of placement for a first event on time.
	startBy time.Time
	// expires is when a slot is of no more use.
	expires time.Time
	placed  chan *Placement
}

// Acquire returns a placement, waiting for one as long as the request can still be
// served afterwards. Otherwise it fails with errs.Full and a retry hint, with
// errs.Unavailable if no open target is left, or with errs.Timeout if ctx ends or the deadline
// has passed.
func (p *Pool) Acquire(ctx context.Context, d Demand) (*Placement, error) {
	began := p.now()
	for {
		placement, err := p.acquire(ctx, &d, began)
		if placement == startAgain {
			continue
		}
		if placement != nil {
			placement.Waited = p.now().Sub(began)
		}
		return placement, err
	}
}

func (p *Pool) acquire(ctx context.Context, d *Demand, since time.Time) (*Placement, error) {
	w, placement, err := p.placeOrEnqueue(d, since)
	if w == nil {
		return placement, err
	}
	limit := time.NewTimer(w.expires.Sub(p.now()))
	defer limit.Stop()
	select {
	case placement = <-w.placed:
	case <-ctx.Done():
		placement, err = p.dequeue(w), errs.New(errs.Timeout, "wait for placement", "", "the request ended: %w", ctx.Err())
	case <-limit.C:
		if placement = p.dequeue(w); placement == nil {
			err = p.waitExpired()
		}
	}
	if placement == nil {
		if err == nil {
			err = errs.New(errs.Unavailable, "wait for placement", p.name, "the wait was interrupted")
		}
		return nil, err
	}
	if ctx.Err() != nil {
		if placement != startAgain {
			p.Release(placement)
		}
		return nil, errs.New(errs.Timeout, "wait for placement", "", "the request ended: %w", ctx.Err())
	}
	return placement, nil
}

// waitExpired is the error of a request whose wait for a slot timed out.
func (p *Pool) waitExpired() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fullError("no slot became free in time")
}

// placeOrEnqueue places the request at once, or adds it to the queue, in which it has waited
// since the given time.
func (p *Pool) placeOrEnqueue(d *Demand, since time.Time) (*waiter, *Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	// The timer of ctx may be late, as after a freeze.
	if !d.Deadline.IsZero() && !now.Before(d.Deadline) {
		return nil, nil, errs.New(errs.Timeout, "place request", p.name, "the deadline passed %s ago", now.Sub(d.Deadline))
	}
	isNext := !slices.ContainsFunc(p.waiting, func(w *waiter) bool { return !now.After(w.expires) })
	if isNext || d.Begun {
		if placement := p.place(d); placement != nil {
			return nil, placement, nil
		}
	}
	if !p.hasAlternative(d) {
		return nil, nil, p.unavailableError("no target can take the request")
	}
	if d.latestStart.IsZero() {
		d.latestStart = p.latestStart(d)
	}
	until := d.latestStart
	if wait := p.pausedWait(d, now); now.Add(wait).After(until) {
		err := p.fullError("every target has asked for a pause")
		err.RetryAfterMillis = (wait + rand.N(maxRetryHint)).Milliseconds()
		return nil, nil, err
	}
	if wait := p.expectedWait(); now.Add(wait).After(until) {
		return nil, nil, p.fullError("the expected wait exceeds the remaining time")
	}
	w := &waiter{demand: d, since: since, startBy: p.startBy(d), expires: until, placed: make(chan *Placement, 1)}
	at, _ := slices.BinarySearchFunc(p.waiting, w, compareWaiters)
	p.waiting = slices.Insert(p.waiting, at, w)
	return w, nil, nil
}

// compareWaiters orders begun requests first, then by urgency, then by waiting time.
func compareWaiters(a, b *waiter) int {
	switch {
	case a.demand.Begun != b.demand.Begun:
		if a.demand.Begun {
			return -1
		}
		return 1
	case a.demand.Urgency != b.demand.Urgency:
		return a.demand.Urgency - b.demand.Urgency
	}
	if a.since.After(b.since) {
		return 1
	}
	return -1
}

// dequeue removes a waiter from the queue. It returns the placement that the waiter got
// meanwhile, if any.
func (p *Pool) dequeue(w *waiter) *Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiting, w); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		return nil
	}
	return <-w.placed
}

// placeWaiting places waiting requests as far as possible, those first that can still
// be on time: a late one stays late in any case, and would make those behind it late
// too. The lock is held.
func (p *Pool) placeWaiting() {
	now := p.now()
	onTime := func(w *waiter) bool { return w.demand.Begun || now.Before(w.startBy) }
	p.placeMatching(onTime, now)
	p.placeMatching(func(w *waiter) bool { return !onTime(w) }, now)
}

// placeMatching places the wanted ones of the waiting requests. One whose wait has expired
// stays until its timer fires. The lock is held.
func (p *Pool) placeMatching(wanted func(*waiter) bool, now time.Time) {
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		if !wanted(w) || now.After(w.expires) {
			kept = append(kept, w)
			continue
		}
		if placement := p.place(w.demand); placement != nil {
			w.placed <- placement
			continue
		}
		kept = append(kept, w)
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
}

// PlaceWaiting places waiting requests after time has passed: cold and suspected
// targets accept requests again without any other event.
func (p *Pool) PlaceWaiting() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placeWaiting()
}

// Interrupt ends the waits of all queued requests with errs.Unavailable.
func (p *Pool) Interrupt() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.waiting {
		w.placed <- nil
	}
	p.waiting = nil
}
