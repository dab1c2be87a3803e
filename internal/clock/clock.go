// Package clock abstracts the monotonic clock, so that tests run on logical
// time.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time. Differences between two readings follow a
// monotonic clock.
type Clock interface {
	Now() time.Time
}

// System is the clock behind time.Now. Its readings may be used as deadlines of
// contexts and connections.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// Boot is the clock for leases. It starts at the wall-clock time at which the
// process started and then follows the boot-time clock: wall-clock adjustments don't
// affect it, and unlike System it includes the time in which the host is suspended.
// Its readings may only be compared with each other.
type Boot struct{}

// origin maps the boot-time clock to the wall clock.
var origin = newOrigin()

type clockOrigin struct {
	// wall has no monotonic reading, which would not advance during suspension.
	wall time.Time
	boot time.Duration
	// usable is false on a kernel without the boot-time clock.
	usable bool
}

func newOrigin() clockOrigin {
	boot, ok := bootTime()
	return clockOrigin{wall: time.Now().Round(0), boot: boot, usable: ok}
}

func bootTime() (time.Duration, bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}

// Now implements Clock.
func (Boot) Now() time.Time {
	if !origin.usable {
		return time.Now()
	}
	boot, ok := bootTime()
	if !ok {
		return time.Now()
	}
	return origin.wall.Add(boot - origin.boot)
}

// Manual is a clock that moves only when Advance is called. It is safe for
// concurrent use.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a clock set to start.
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
