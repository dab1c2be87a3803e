// Package clock abstracts the monotonic clock, so that tests run on logical
// time.
package clock

import (
	"sync"
	"time"
)

// Clock returns the current time. Differences between two readings follow the
// monotonic clock.
type Clock interface {
	Now() time.Time
}

// System is the clock of the operating system.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// Manual is a clock that moves only when told. It is safe for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a clock that stands at start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now implements Clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}
