package placement

import (
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
	// notices may be nil.
	notices *Notices

	mu      sync.Mutex
	profile *api.EngineProfile
	entries int
	targets map[string]*targetState
	waiting []*waiter
	// holdTime is the smoothed time for which a request holds its slot.
	holdTime time.Duration
}

// NewPool returns a pool without targets. domain is the failure domain of this entry,
// now a monotonic clock, and notices are those of all pools.
func NewPool(name string, domain api.FailureDomain, now func() time.Time, notices *Notices) *Pool {
	return &Pool{name: name, domain: domain, now: now, notices: notices, entries: 1, targets: make(map[string]*targetState)}
}

// Name returns the name of the service, or of the service and model.
func (p *Pool) Name() string { return p.name }

// Placement is a slot on a target. Pool.Release gives it back.
type Placement struct {
	Target Target
	// Running and Prefill are the known work of all entries on the target when the
	// request was placed, in requests and prompt tokens.
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

// Update replaces the targets, and the entries that share them. Targets that stay keep
// their work in progress; one with a new generation starts without any, though with its limit.
func (p *Pool) Update(targets []Target, profile *api.EngineProfile, entries Entries) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.profile, p.entries = profile, max(1, len(entries.Live))
	now, next := p.now(), make(map[string]*targetState, len(targets))
	for _, t := range targets {
		state := p.targets[t.ID]
		if state == nil || state.Generation != t.Generation {
			state = &targetState{remote: make(map[api.EntryID]remoteLoad)}
			state.limit, state.placements = p.keptLimit(&t, now)
		}
		state.Target = t
		state.coldQuota, state.rank = coldQuota(&t, entries), rank(&t, entries)
		next[t.ID] = state
	}
	p.targets = next
	p.placeWaiting()
}

// Size returns the number of targets.
func (p *Pool) Size() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.targets)
}

// hasAlternative reports whether a target is left that may take the request sooner or later.
func (p *Pool) hasAlternative(d *Demand) bool {
	for _, s := range p.targets {
		if p.isAlternative(s, d) {
			return true
		}
	}
	return false
}

// isAlternative reports whether a target is open, does not leave and is not excluded.
func (p *Pool) isAlternative(s *targetState, d *Demand) bool {
	return !s.Closed && !slices.Contains(d.Exclude, s.ID) && !p.notices.leaves(&s.Target, p.now())
}

// minServiceTime is the least time that a request needs on a target.
const minServiceTime = 20 * time.Millisecond

// latestStart is when a slot is of no more use: it leaves the run time until the
// deadline, though at most half of the remaining time, and the time to the first event
// until the caller gives up. The lock is held.
func (p *Pool) latestStart(d *Demand) time.Time {
	if p.profile == nil {
		return d.Deadline.Add(-minServiceTime)
	}
	idle := load{running: 1, context: d.tokens()}
	first := firstEventTime(p.profile, 1, idle, d.Prompt)
	run := first + decodeTime(p.profile, 1, idle, d.Answer)
	last := d.Deadline.Add(-min(run, d.Deadline.Sub(p.now())/2))
	if giveUp := d.FirstBy.Add(-first); !d.FirstBy.IsZero() && giveUp.Before(last) {
		return giveUp
	}
	return last
}

// startBy is the latest time at which a request must be placed to be on time.
func (p *Pool) startBy(d *Demand) time.Time {
	if p.profile == nil || d.Objective.IsZero() {
		return d.Objective
	}
	return d.Objective.Add(-firstEventTime(p.profile, 1, load{running: 1, context: d.tokens()}, d.Prompt))
}

// expectedWait estimates the wait at the end of the queue from the rate at which slots
// become free. The lock is held.
func (p *Pool) expectedWait() time.Duration {
	slots := 0
	now := p.now()
	for _, s := range p.targets {
		if !s.suspected(now) {
			slots += s.Slots
		}
	}
	// The slots are divided evenly among the entries.
	slots = max(1, slots/p.entries)
	return max(p.limitedWait(now), time.Duration(len(p.waiting))*p.holdTime/time.Duration(slots))
}

// place reserves a slot on the best target, or returns nil. The lock is held.
func (p *Pool) place(d *Demand) *Placement {
	q := p.query(d)
	best, expected := p.choose(q)
	if best == nil {
		return nil
	}
	l := best.total(q.now)
	best.own.add(load{running: 1, prefill: d.Prompt, context: d.tokens()})
	best.recordPlacement(q.now)
	if best.waitingSince.IsZero() {
		best.waitingSince = q.now
	}
	return &Placement{
		Target: best.Target, Running: l.running, Prefill: l.prefill, Expected: expected, demand: *d, at: q.now,
	}
}

func (p *Pool) query(d *Demand) *query {
	return &query{demand: d, now: p.now(), domain: string(p.domain), profile: p.profile, pool: p}
}

// choose returns the target with the lowest score among those that every filter
// admits, and its expected time to the first event.
func (p *Pool) choose(q *query) (*targetState, time.Duration) {
	var best *targetState
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
func (p *Pool) sorted() []*targetState {
	out := make([]*targetState, 0, len(p.targets))
	for _, s := range p.targets {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *targetState) int { return strings.Compare(a.ID, b.ID) })
	return out
}

func admitted(s *targetState, q *query) bool {
	for _, f := range filters {
		if !f.admit(s, q) {
			return false
		}
	}
	return true
}

const (
	// crossDomainPenalty is added for a target in another failure domain: traffic
	// between failure domains is expensive and takes longer.
	crossDomainPenalty = 15 * time.Millisecond
	// scoreJitter keeps entries with equally old load reports from choosing the same
	// target at once.
	scoreJitter = 10 * time.Millisecond
	// plainServiceTime is the assumed run time of one call of a plain service.
	plainServiceTime = 30 * time.Millisecond
)

// score rates a target; the lowest score is best. For an engine it is the expected time
// to the first event, and an eighth of the decode time for what the request slows down;
// for a plain service, the load per slot. Another failure domain adds a penalty.
func (p *Pool) score(s *targetState, q *query) (score, expected time.Duration) {
	l := s.total(q.now)
	if p.profile != nil {
		expected = firstEventTime(p.profile, s.paceFactor(), l, q.demand.Prompt)
		score = expected + decodeTime(p.profile, s.paceFactor(), l, q.demand.Answer)/8
	} else {
		score = time.Duration(l.running) * plainServiceTime / time.Duration(max(1, s.Slots))
	}
	if string(s.Domain) != q.domain {
		score += crossDomainPenalty
	}
	return score + rand.N(scoreJitter), expected
}

// RecordFirstEvent records that the first event of a request has arrived, so that its
// prompt is processed.
func (p *Pool) RecordFirstEvent(pl *Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.currentState(pl)
	if s != nil && !pl.begun {
		s.own.prefill -= pl.demand.Prompt
	}
	pl.begun = true
}

// RecordBytes records that bytes of an answer have arrived from a target.
func (p *Pool) RecordBytes(pl *Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.currentState(pl)
	if s == nil {
		return
	}
	s.answeredAt = p.now()
	s.waitingSince = s.answeredAt
	s.stalled = false
	s.suspectUntil = time.Time{}
}

// Release frees the slot of a placement.
func (p *Pool) Release(pl *Placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holdTime = (7*p.holdTime + p.now().Sub(pl.at)) / 8
	s := p.currentState(pl)
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
	p.placeWaiting()
}

// Suspicion is why a target gets no new requests for a time.
type Suspicion struct {
	// For is the time, unless a byte of an answer arrives from the target before.
	For time.Duration
	// Stalled is set if a request on the target makes no progress.
	Stalled bool
	// DialFailed is set if no connection to the target could be established.
	DialFailed bool
}

// Suspect keeps new requests off a target.
func (p *Pool) Suspect(pl *Placement, why Suspicion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.currentState(pl); s != nil {
		s.suspectedAt = p.now()
		s.suspectUntil = s.suspectedAt.Add(why.For)
		s.dialFailed = why.DialFailed
		s.stalled = s.stalled || why.Stalled
	}
}

// Trust ends the suspicions of this entry.
func (p *Pool) Trust() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.targets {
		s.suspectUntil = time.Time{}
	}
	p.placeWaiting()
}

// Silence returns for how long nothing has arrived from a target on which this entry
// has requests, and whether the target is gone: control has dissolved it, or it has started
// again, and nothing more will arrive. A server of a plain service that the view no longer
// names takes nothing new, but finishes its requests.
func (p *Pool) Silence(pl *Placement) (silent time.Duration, gone bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.profile == nil && p.targets[pl.Target.ID] == nil {
		return 0, false
	}
	s := p.currentState(pl)
	if s == nil {
		return 0, true
	}
	if s.waitingSince.IsZero() {
		return 0, false
	}
	return p.now().Sub(s.waitingSince), false
}

// HasOther reports whether a target that the demand does not exclude could take a
// request now.
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

// currentState returns the state of a placement's target, or nil once the target is
// gone or has another generation.
func (p *Pool) currentState(pl *Placement) *targetState {
	s := p.targets[pl.Target.ID]
	if s == nil || s.Generation != pl.Target.Generation {
		return nil
	}
	return s
}

const (
	// minRetryHint and maxRetryHint bound the expected wait from which a hint is made.
	minRetryHint = 250 * time.Millisecond
	maxRetryHint = 2 * time.Second
)

// retryHint is the wait in ms before a refused caller retries: the expected wait of the
// queue, with jitter to spread the callers.
func (p *Pool) retryHint() int64 {
	wait := min(max(p.expectedWait(), minRetryHint), maxRetryHint)
	return (wait + rand.N(wait)).Milliseconds()
}

// fullError and unavailableError are the errors of a request that gets no slot. The
// lock is held.
func (p *Pool) fullError(reason string) *errs.Error {
	err := errs.New(errs.Full, "place request", p.name, "%s: %s", reason, p.describeState())
	err.RetryAfterMillis = p.retryHint()
	return err
}

func (p *Pool) unavailableError(reason string) *errs.Error {
	err := errs.New(errs.Unavailable, "place request", p.name, "%s: %s", reason, p.describeState())
	err.RetryAfterMillis = 2 * p.retryHint()
	return err
}

// State describes the pool for logs.
func (p *Pool) State() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.describeState()
}

// describeState describes the state of the pool for a refusal. The lock is held.
func (p *Pool) describeState() string {
	now := p.now()
	running, suspected, remote := 0, 0, 0
	for _, s := range p.targets {
		running += s.total(now).running
		switch {
		case now.Before(s.suspectUntil):
			suspected++
		case s.suspected(now):
			remote++
		}
	}
	return fmt.Sprintf("%d targets, %d suspected here, %d by other entries, %d running requests, %d waiting at this entry, expected wait %d ms",
		len(p.targets), suspected, remote, running, len(p.waiting), p.expectedWait().Milliseconds())
}
