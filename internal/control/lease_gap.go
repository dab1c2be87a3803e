package control

import (
	"sync"
	"time"
)

// leaseGap measures how long a leader is without its lease within one term. No
// other voter can have led in that time, so the state of the leadership stays
// valid. Calls were refused, however, so the time must not count as silence of
// the callers.
type leaseGap struct {
	mu sync.Mutex
	// lastHeld is when the lease was last observed to be held.
	lastHeld time.Time
	open     bool
}

// begin records that the lease is not held. It reports whether a gap started
// now.
func (l *leaseGap) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := !l.open
	l.open = true
	return first
}

// end records that the lease is held. If a gap was open, onEnd is called with
// its length before any other caller continues.
func (l *leaseGap) end(now time.Time, onEnd func(length time.Duration)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open {
		onEnd(now.Sub(l.lastHeld))
	}
	l.open = false
	l.lastHeld = now
}

// extendDeadlines moves the ends of work leases and the last-seen times of
// hosts and control daemons by the length of a lease gap.
func (l *leadership) extendDeadlines(length time.Duration) {
	l.leases.shift(length)
	l.hosts.shift(length)
	l.enrolled.shift(length)
}

// shift extends all leases.
func (t *leaseTable) shift(length time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range t.rows {
		row.until = row.until.Add(length)
	}
}

// shift moves the last-seen time of every host, including hosts that have not
// announced themselves yet.
func (t *hostTable) shift(length time.Duration) {
	t.assumedSeenNanos.Add(int64(length))
	for i := range t.shards {
		t.shards[i].shift(length)
	}
}

func (s *hostShard) shift(length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, row := range s.rows {
		shifted := *row
		shifted.seen = row.seen.Add(length)
		s.rows[id] = &shifted
	}
}

// shift moves the last-seen time of every control daemon.
func (t *enrolledTable) shift(length time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, row := range t.rows {
		row.seen = row.seen.Add(length)
		t.rows[id] = row
	}
}
