package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusway/crocusway/internal/api"
)

// coldWindow is the window in which the requests to a cold target are counted.
const coldWindow = time.Second

// Entries are the entries that place requests, according to the view.
type Entries struct {
	Self api.EntryID
	Live []api.EntryInfo
}

// coldQuota is this entry's part of the rate of a cold target, in requests a second.
func coldQuota(t *Target, e Entries) int {
	return quota(max(1, int(t.ColdRate)), rank(t, e), len(e.Live))
}

// quota is this entry's part of a number of requests to one target. The remainder of the
// division goes to the entries that come first, so that no more entries than requests get
// a part.
func quota(requests, rank, entries int) int {
	if entries <= 1 {
		return requests
	}
	part := requests / entries
	if rank < requests%entries {
		part++
	}
	return part
}

// rank is the place of this entry in an order that all entries compute alike: those of the
// target's failure domain first, then by a hash that differs for each target.
func rank(t *Target, e Entries) int {
	var self api.EntryInfo
	for _, other := range e.Live {
		if other.ID == e.Self {
			self = other
		}
	}
	n := 0
	for _, other := range e.Live {
		if other.ID != e.Self && precedes(t, &other, &self) {
			n++
		}
	}
	return n
}

func precedes(t *Target, a, b *api.EntryInfo) bool {
	if near := a.Domain == t.Domain; near != (b.Domain == t.Domain) {
		return near
	}
	x, y := xxhash.Sum64String(t.ID+"/"+string(a.ID)), xxhash.Sum64String(t.ID+"/"+string(b.ID))
	return x < y || x == y && a.ID < b.ID
}

// coldAllows reports whether this entry may place one more request on a cold target.
func (s *targetState) coldAllows(now time.Time) bool {
	return !s.Cold || s.ColdRate <= 0 || s.placedIn(now, coldWindow) < s.coldQuota
}

// placedIn counts the placements of this entry within a window.
func (s *targetState) placedIn(now time.Time, window time.Duration) int {
	n := 0
	for i := len(s.placements) - 1; i >= 0 && now.Sub(s.placements[i]) < window; i-- {
		n++
	}
	return n
}

// recordPlacement keeps the times of placements for the longest window.
func (s *targetState) recordPlacement(now time.Time) {
	n := 0
	for n < len(s.placements) && now.Sub(s.placements[n]) >= limitWindow {
		n++
	}
	s.placements = append(s.placements[n:], now)
}

// RetryBudget bounds the retries that one entry sends to a service: in any window, a
// ratio of the requests that arrived for the service, plus this entry's part of a
// fixed allowance.
type RetryBudget struct {
	ratio     float64
	allowance float64
	window    time.Duration
	// requests and repeats are the times of those within the window.
	requests []time.Time
	retries  []time.Time
}

// NewRetryBudget returns a budget over a window.
func NewRetryBudget(ratio, allowance float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, allowance: allowance, window: window}
}

// usedBudgetRatio is the part of the budget that is used: other entries count arrivals
// at slightly different times.
const usedBudgetRatio = 0.8

// Count records a request.
func (b *RetryBudget) Count(now time.Time) { b.requests = append(b.expire(b.requests, now), now) }

// Take records one retry, or reports false if the budget is exhausted. The allowance is
// divided by the number of entries.
func (b *RetryBudget) Take(now time.Time, entries int) bool {
	b.requests = b.expire(b.requests, now)
	b.retries = b.expire(b.retries, now)
	limit := usedBudgetRatio * (b.ratio*float64(len(b.requests)) + b.allowance/float64(max(1, entries)))
	if float64(len(b.retries)+1) > limit {
		return false
	}
	b.retries = append(b.retries, now)
	return true
}

func (b *RetryBudget) expire(moments []time.Time, now time.Time) []time.Time {
	n := 0
	for n < len(moments) && now.Sub(moments[n]) >= b.window {
		n++
	}
	return moments[n:]
}
