package placement

import "time"

// coldWindow is the span in which the requests to a cold target are counted.
const coldWindow = time.Second

// coldAllows reports whether this entry may place one more request on a cold
// target. Each entry gets an equal part of the rate, at least one request.
func (s *state) coldAllows(now time.Time, entries int) bool {
	if !s.Cold || s.ColdRate <= 0 {
		return true
	}
	for len(s.placed) > 0 && now.Sub(s.placed[0]) >= coldWindow {
		s.placed = s.placed[1:]
	}
	return len(s.placed) < max(1, int(s.ColdRate)/max(1, entries))
}

// RetryBudget bounds the repeats that one entry sends to a service: in any window
// a ratio of the requests that arrived for the service, and this entry's part of a
// fixed allowance.
type RetryBudget struct {
	ratio     float64
	allowance float64
	window    time.Duration
	// requests and repeats are moments within the window.
	requests []time.Time
	repeats  []time.Time
}

// NewRetryBudget returns a budget over a window.
func NewRetryBudget(ratio, allowance float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, allowance: allowance, window: window}
}

// retryShare is the part of the budget that is used: other entries count arrivals
// at slightly other moments.
const retryShare = 0.8

// Count notes a request.
func (b *RetryBudget) Count(now time.Time) { b.requests = append(b.expire(b.requests, now), now) }

// Take spends one repeat, or reports that none is left. The allowance is divided by
// the number of entries.
func (b *RetryBudget) Take(now time.Time, entries int) bool {
	b.requests = b.expire(b.requests, now)
	b.repeats = b.expire(b.repeats, now)
	limit := retryShare * (b.ratio*float64(len(b.requests)) + b.allowance/float64(max(1, entries)))
	if float64(len(b.repeats)+1) > limit {
		return false
	}
	b.repeats = append(b.repeats, now)
	return true
}

func (b *RetryBudget) expire(moments []time.Time, now time.Time) []time.Time {
	n := 0
	for n < len(moments) && now.Sub(moments[n]) >= b.window {
		n++
	}
	return moments[n:]
}
