package control

import (
	"sync"
	"time"
)

// leaseGap follows how long a leader is without its lease within one term. No other
// voter can have led meanwhile, so the soft state stays true; but callers were
// turned away, and what they could not say must not count against them.
type leaseGap struct {
	mu sync.Mutex
	// lastHeld is when the lease was last seen to hold.
	lastHeld time.Time
	open     bool
}

// begin notes that the lease does not hold. It reports whether it did until now.
func (l *leaseGap) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := !l.open
	l.open = true
	return first
}

// end notes that the lease holds. After a lapse it calls excuse with its
// length before any other caller goes on.
func (l *leaseGap) end(now time.Time, excuse func(length time.Duration)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open {
		excuse(now.Sub(l.lastHeld))
	}
	l.open = false
	l.lastHeld = now
}

// extendDeadlines moves every moment of silence by the length of a lapse.
func (l *leadership) extendDeadlines(length time.Duration) {
	l.leases.shift(length)
	l.hosts.shift(length)
	l.enrolled.shift(length)
}

// shift prolongs all leases.
func (t *leaseTable) shift(length time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, row := range t.rows {
		row.until = row.until.Add(length)
	}
}

// shift counts every host, also one not heard of yet, as seen later.
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

// shift counts every control daemon as seen later.
func (t *enrolledTable) shift(length time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.since = t.since.Add(length)
	for id, row := range t.rows {
		row.seen = row.seen.Add(length)
		t.rows[id] = row
	}
}
