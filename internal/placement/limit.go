package placement

import (
	"math"
	"slices"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

const (
	// limitWindow is the window in which requests to a target with a limit are counted.
	limitWindow = 4 * time.Second
	// limitLifetime is how long a limit holds without an answer that names it or not. An
	// entry with a quota sends a request in each window, and its answer may take a while.
	limitLifetime = 2 * limitWindow
	// MaxLimit is the largest limit that has any effect, in requests a second.
	MaxLimit = 1e5
)

// limit is the rate of requests over all entries that a target has named.
type limit struct {
	// rate is in requests a second; named is false if the last answer named none.
	rate  float64
	named bool
	at    time.Time
}

// isCurrent reports whether the limit still says something.
func (l *limit) isCurrent(now time.Time) bool { return !l.at.IsZero() && now.Sub(l.at) < limitLifetime }

// RecordLimit records that an answer of the target named a limit, in requests a second, or
// none. It reports whether that is new.
func (p *Pool) RecordLimit(pl *Placement, rate float64, named bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s := p.currentState(pl)
	if s == nil && named {
		s = p.laterIncarnation(pl, now)
	}
	if s == nil {
		return false
	}
	old := s.limit
	wasNamed := old.named && old.isCurrent(now)
	if !named && !wasNamed && old.at.IsZero() {
		return false
	}
	s.limit = limit{rate: min(rate, MaxLimit), named: named, at: now}
	return named != wasNamed || named && old.rate != s.limit.rate
}

// laterIncarnation returns the state of the incarnation that the view names since a request was placed
// on a target, if the answer may be from that one. The lock is held.
func (p *Pool) laterIncarnation(pl *Placement, now time.Time) *targetState {
	s := p.targets[pl.Target.ID]
	if s == nil || s.Instance != pl.Target.Instance {
		return nil
	}
	from := answerOrigin{incarnation: pl.Target.Incarnation, connected: pl.at}
	if !from.covers(s.Incarnation, now) {
		return nil
	}
	return s
}

// keptLimit returns the limit that the server of a new target has named under a former target,
// incarnation or generation, and the placements that count for it. The lock is held.
func (p *Pool) keptLimit(t *Target, now time.Time) (limit, []time.Time) {
	for _, s := range p.targets {
		from := answerOrigin{incarnation: s.Incarnation, connected: s.limit.at}
		if s.Instance == t.Instance && s.limit.isCurrent(now) && from.covers(t.Incarnation, now) {
			return s.limit, slices.Clone(s.placements)
		}
	}
	return limit{}, nil
}

// rateLimit returns the limit that applies to the target: what this entry heard itself,
// else the lowest one that other entries report.
func (s *targetState) rateLimit(now time.Time) (float64, bool) {
	if s.limit.isCurrent(now) {
		return s.limit.rate, s.limit.named
	}
	rate, named := math.Inf(1), false
	for _, r := range s.remote {
		if r.limited && now.Sub(r.at) < ReportLifetime {
			rate, named = min(rate, r.limit), true
		}
	}
	return rate, named
}

// limitQuota is this entry's part of the requests in one window to a target with a limit:
// at least one over all entries, whose answer shows when the limit ends.
func (p *Pool) limitQuota(s *targetState, rate float64) int {
	return quota(max(1, int(rate*limitWindow.Seconds())), s.rank, p.entries)
}

// isWithinLimit keeps requests from a target whose limit is used up.
func isWithinLimit(s *targetState, q *query) bool {
	rate, named := s.rateLimit(q.now)
	return !named || s.placedIn(q.now, limitWindow) < q.pool.limitQuota(s, rate)
}

// limitedWait estimates the wait at the end of the queue if every target has a limit, from
// this entry's parts of them; limitWindow if it has no part of any. The lock is held.
func (p *Pool) limitedWait(now time.Time) time.Duration {
	requests, next, targets := 0, limitWindow, 0
	for _, s := range p.targets {
		rate, named := s.rateLimit(now)
		if s.Closed || s.suspected(now) {
			continue
		}
		if !named {
			return 0
		}
		targets++
		if part := p.limitQuota(s, rate); part > 0 {
			requests += part
			next = min(next, s.untilPlacement(now, part))
		}
	}
	switch {
	case targets == 0:
		return 0
	case requests == 0:
		return limitWindow
	}
	return next + time.Duration(len(p.waiting))*limitWindow/time.Duration(requests)
}

// untilPlacement is the time until fewer than part requests were placed within limitWindow.
func (s *targetState) untilPlacement(now time.Time, part int) time.Duration {
	if s.placedIn(now, limitWindow) < part {
		return 0
	}
	return s.placements[len(s.placements)-part].Add(limitWindow).Sub(now)
}

// reported returns the limit for a load report: the one that this entry heard itself.
func (l *limit) reported(now time.Time) *float64 {
	if !l.named || !l.isCurrent(now) {
		return nil
	}
	rate := l.rate
	return &rate
}

// MergeLimits returns the lower one of two reported limits, nil without any.
func MergeLimits(a, b api.Load) *float64 {
	switch {
	case a.Limit == nil:
		return b.Limit
	case b.Limit == nil || *a.Limit <= *b.Limit:
		return a.Limit
	}
	return b.Limit
}
