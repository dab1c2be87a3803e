package placement

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// Pool places the requests of one plain service or of one model. It is safe for
// concurrent use.
type Pool struct {
	name   string
	domain api.FailureDomain
	now    func() time.Time

	mu      sync.Mutex
	profile *api.EngineProfile
	entries int
	targets map[string]*state
	waiting []*waiter
	// took is a smoothed time that a request holds its place.
	took time.Duration
}

// NewPool returns a pool without targets. now is a monotonic clock; domain is the
// failure domain of this entry.
func NewPool(name string, domain api.FailureDomain, now func() time.Time) *Pool {
	return &Pool{name: name, domain: domain, now: now, entries: 1, targets: make(map[string]*state)}
}

// Placement is a place on a target. Give it back with Pool.Release.
type Placement struct {
	Target Target
	// Running and Prefill are the work of all entries that was known on the target,
	// in requests and prompt tokens.
	Running int
	Prefill int
	// Expected estimates the time to the first event; 0 for plain services.
	Expected time.Duration
	// Waited is the time in the queue.
	Waited time.Duration
	demand Demand
	at     time.Time
	begun  bool
}

// waiter is a request that waits for a place.
type waiter struct {
	demand *Demand
	since  time.Time
	// startBy is until when a place makes the first event on time.
	startBy time.Time
	// until is when a place is of no more use.
	until  time.Time
	placed chan *Placement
}

// Update replaces the targets; entries are those that share them. Work in progress on targets that stay is kept; one
// that returns under a new generation starts anew.
func (p *Pool) Update(targets []Target, profile *api.EngineProfile, entries Entries) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.profile, p.entries = profile, max(1, len(entries.Live))
	next := make(map[string]*state, len(targets))
	for _, t := range targets {
		old := p.targets[t.ID]
		if old == nil || old.Generation != t.Generation {
			old = &state{remote: make(map[api.EntryID]remoteLoad)}
		}
		old.Target = t
		old.coldQuota = coldQuota(&t, entries)
		next[t.ID] = old
	}
	p.targets = next
	p.pump()
}

// Size returns the number of targets.
func (p *Pool) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.targets)
}

// Acquire returns a place, waiting for one as long as the request can still be
// served afterwards. It fails with errs.Full and a retry hint when it can't, and
// with errs.Unavailable while there are no targets at all.
func (p *Pool) Acquire(ctx context.Context, d Demand) (*Placement, error) {
	w, placement, err := p.enter(&d)
	if w == nil {
		return placement, err
	}
	limit := time.NewTimer(w.until.Sub(p.now()))
	defer limit.Stop()
	select {
	case placement = <-w.placed:
	case <-ctx.Done():
		placement, err = p.leave(w), errs.New(errs.Timeout, "wait for a place", "", "the request ended: %w", ctx.Err())
	case <-limit.C:
		if placement = p.leave(w); placement == nil {
			err = p.late()
		}
	}
	if placement == nil {
		return nil, err
	}
	if ctx.Err() != nil {
		p.Release(placement)
		return nil, errs.New(errs.Timeout, "wait for a place", "", "the request ended: %w", ctx.Err())
	}
	placement.Waited = p.now().Sub(w.since)
	return placement, nil
}

// late is the error of a request that waited in vain.
func (p *Pool) late() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.full("no place became free in time")
}

// enter places the request at once, or puts it into the queue.
func (p *Pool) enter(d *Demand) (*waiter, *Placement, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) == 0 || d.Begun {
		if placement := p.place(d); placement != nil {
			return nil, placement, nil
		}
	}
	if !p.hasAlternative(d) {
		return nil, nil, p.unavailable("no target can take the request")
	}
	until := p.lastMoment(d)
	if wait := p.expectedWait(); p.now().Add(wait).After(until) {
		return nil, nil, p.full("the queue is too long for the time that is left")
	}
	w := &waiter{demand: d, since: p.now(), startBy: p.startBy(d), until: until, placed: make(chan *Placement, 1)}
	at, _ := slices.BinarySearchFunc(p.waiting, w, compareWaiters)
	p.waiting = slices.Insert(p.waiting, at, w)
	return w, nil, nil
}

// compareWaiters puts begun requests first, then the more urgent ones, then those
// that wait longest.
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

// leave takes a waiter out of the queue. It returns the place that the waiter got
// meanwhile, if any.
func (p *Pool) leave(w *waiter) *Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.waiting, w); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
		return nil
	}
	return <-w.placed
}

// hasAlternative reports whether a target exists that has not failed the request.
func (p *Pool) hasAlternative(d *Demand) bool {
	for id, s := range p.targets {
		if !s.Closed && !slices.Contains(d.Exclude, id) {
			return true
		}
	}
	return false
}

// minServing is the least time that a request needs on a target.
const minServing = 20 * time.Millisecond

// lastMoment is when a place is of no more use: the time of the run itself is left
// until the deadline, at most half of what the request has, and that until its first
// event before the caller gives up. The lock is held.
func (p *Pool) lastMoment(d *Demand) time.Time {
	if p.profile == nil {
		return d.Deadline.Add(-minServing)
	}
	idle := load{running: 1, context: d.tokens()}
	first := firstEvent(p.profile, 1, idle, d.Prompt)
	run := first + writing(p.profile, 1, idle, d.Answer)
	last := d.Deadline.Add(-min(run, d.Deadline.Sub(p.now())/2))
	if giveUp := d.FirstBy.Add(-first); !d.FirstBy.IsZero() && giveUp.Before(last) {
		return giveUp
	}
	return last
}

// startBy is until when a request must get a place to be on time.
func (p *Pool) startBy(d *Demand) time.Time {
	if p.profile == nil || d.Objective.IsZero() {
		return d.Objective
	}
	return d.Objective.Add(-firstEvent(p.profile, 1, load{running: 1, context: d.tokens()}, d.Prompt))
}

// expectedWait estimates the wait at the end of the queue from the rate at which
// places become free. The lock is held.
func (p *Pool) expectedWait() time.Duration {
	slots := 0
	now := p.now()
	for _, s := range p.targets {
		if !s.suspected(now) {
			slots += s.Slots
		}
	}
	// This entry gets its part of the places.
	slots = max(1, slots/p.entries)
	return time.Duration(len(p.waiting)) * p.took / time.Duration(slots)
}

// place chooses a target and takes a place on it, or returns nil. The lock is held.
func (p *Pool) place(d *Demand) *Placement {
	q := p.query(d)
	best, expected := p.choose(q)
	if best == nil {
		return nil
	}
	l := best.total(q.now)
	best.own.add(load{running: 1, prefill: d.Prompt, context: d.tokens()})
	if best.Cold {
		best.placed = append(best.placed, q.now)
	}
	if best.waitingSince.IsZero() {
		best.waitingSince = q.now
	}
	return &Placement{
		Target: best.Target, Running: l.running, Prefill: l.prefill, Expected: expected, demand: *d, at: q.now,
	}
}

func (p *Pool) query(d *Demand) *query {
	return &query{demand: d, now: p.now(), domain: string(p.domain), profile: p.profile}
}

// choose returns the target with the lowest score among those that every filter
// admits, and its expected time to the first event.
func (p *Pool) choose(q *query) (*state, time.Duration) {
	var best *state
	var bestScore, bestExpected time.Duration
	for _, s := range p.sorted() {
		if !admitted(s, q) {
			continue
		}
		score, expected := p.score(s, q)
		if best == nil || score < bestScore {
			best, bestScore, bestExpected = s, score, expected
		}
	}
	return best, bestExpected
}

// sorted returns the targets in a stable order.
func (p *Pool) sorted() []*state {
	out := make([]*state, 0, len(p.targets))
	for _, s := range p.targets {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *state) int { return strings.Compare(a.ID, b.ID) })
	return out
}

func admitted(s *state, q *query) bool {
	for _, f := range filters {
		if !f.admit(s, q) {
			return false
		}
	}
	return true
}

const (
	// crossDomain is what a target in another failure domain costs: bytes between
	// failure domains are dear, and the way is longer.
	crossDomain = 15 * time.Millisecond
	// jitter keeps entries whose load reports are equally old from choosing the
	// same target at once.
	jitter = 10 * time.Millisecond
	// serviceRun stands for the run time of one call of a plain service.
	serviceRun = 30 * time.Millisecond
)

// score orders targets: the expected time to the first event, and what the request
// slows down.
func (p *Pool) score(s *state, q *query) (score, expected time.Duration) {
	l := s.total(q.now)
	if p.profile != nil {
		expected = firstEvent(p.profile, s.paceOf(), l, q.demand.Prompt)
		score = expected + writing(p.profile, s.paceOf(), l, q.demand.Answer)/8
	} else {
		score = time.Duration(l.running) * serviceRun / time.Duration(max(1, s.Slots))
	}
	if string(s.Domain) != q.domain {
		score += crossDomain
	}
	return score + rand.N(jitter), expected
}

// pump places waiting requests as far as possible, those first that can still be on
// time: an older one is late anyway, and each that it delays would be late too. The
// lock is held.
func (p *Pool) pump() {
	now := p.now()
	onTime := func(w *waiter) bool { return w.demand.Begun || now.Before(w.startBy) }
	p.pumpThose(onTime)
	p.pumpThose(func(w *waiter) bool { return !onTime(w) })
}

func (p *Pool) pumpThose(wanted func(*waiter) bool) {
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		if !wanted(w) {
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

// Pump places waiting requests after time has passed: cold targets and suspected
// ones take requests again without any other event.
func (p *Pool) Pump() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pump()
}

// FirstEvent tells that the first event of a request has arrived: its prompt is
// read.
func (p *Pool) FirstEvent(pl *Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.current(pl)
	if s != nil && !pl.begun {
		s.own.prefill -= pl.demand.Prompt
	}
	pl.begun = true
}

// Answered tells that bytes of an answer have arrived from a target.
func (p *Pool) Answered(pl *Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.current(pl)
	if s == nil {
		return
	}
	s.answeredAt = p.now()
	s.waitingSince = s.answeredAt
	s.stalled = false
	s.suspectUntil = time.Time{}
}

// Release gives a place back.
func (p *Pool) Release(pl *Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.took = (7*p.took + p.now().Sub(pl.at)) / 8
	s := p.current(pl)
	if s == nil {
		return
	}
	s.own.running--
	s.own.context -= pl.demand.tokens()
	if !pl.begun {
		s.own.prefill -= pl.demand.Prompt
	}
	if s.own.running == 0 {
		s.waitingSince = time.Time{}
		s.stalled = false
	}
	p.pump()
}

// Suspect keeps new requests off a target for a time. A byte of an answer ends it.
func (p *Pool) Suspect(pl *Placement, d time.Duration, stalled bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.current(pl); s != nil {
		s.suspectUntil = p.now().Add(d)
		s.stalled = s.stalled || stalled
	}
}

// Silence returns for how long nothing has arrived from a target on which this
// entry has requests, and whether the target is gone: control has dissolved it, so
// that nothing more will arrive.
func (p *Pool) Silence(pl *Placement) (silent time.Duration, gone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.current(pl)
	if s == nil {
		return 0, true
	}
	if s.waitingSince.IsZero() {
		return 0, false
	}
	return p.now().Sub(s.waitingSince), false
}

// HasOther reports whether a target other than those listed could take a request
// now.
func (p *Pool) HasOther(d *Demand) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.query(d)
	for _, s := range p.targets {
		if admitted(s, q) {
			return true
		}
	}
	return false
}

// current returns the state that a placement counts on, nil once its target is
// gone or has another generation.
func (p *Pool) current(pl *Placement) *state {
	s := p.targets[pl.Target.ID]
	if s == nil || s.Generation != pl.Target.Generation {
		return nil
	}
	return s
}

const (
	// minRetryHint and maxRetryHint bound what refused callers are told to wait.
	minRetryHint = 250 * time.Millisecond
	maxRetryHint = 2 * time.Second
)

// hint is when a refused caller may try again: once the queue of now is served, and
// not all callers at once.
func (p *Pool) hint() int64 {
	wait := min(max(p.expectedWait(), minRetryHint), maxRetryHint)
	return (wait + rand.N(wait)).Milliseconds()
}

// full and unavailable are the errors of a request that gets no place. The lock is
// held.
func (p *Pool) full(reason string) *errs.Error {
	err := errs.New(errs.Full, "place request", p.name, "%s: %s", reason, p.situation())
	err.RetryAfterMillis = p.hint()
	return err
}

func (p *Pool) unavailable(reason string) *errs.Error {
	err := errs.New(errs.Unavailable, "place request", p.name, "%s: %s", reason, p.situation())
	err.RetryAfterMillis = 2 * p.hint()
	return err
}

// situation tells what a refusal was decided on. The lock is held.
func (p *Pool) situation() string {
	now := p.now()
	running, suspected := 0, 0
	for _, s := range p.targets {
		running += s.total(now).running
		if s.suspected(now) {
			suspected++
		}
	}
	return fmt.Sprintf("%d targets, %d of them suspected, %d requests on them, %d waiting here, expected wait %d ms",
		len(p.targets), suspected, running, len(p.waiting), p.expectedWait().Milliseconds())
}
