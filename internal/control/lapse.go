package control

import (
	"sync"
	"time"
)

// lapse follows how long a leader is without its lease within one term. No other
// voter can have led meanwhile, so the soft state stays true; but callers were
// turned away, and what they could not say must not count against them.
type lapse struct {
	mu sync.Mutex
	// held is when the lease was last seen to hold.
	held   time.Time
	lapsed bool
}

// lost notes that the lease does not hold. It reports whether it did until now.
func (l *lapse) lost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	first := !l.lapsed
	l.lapsed = true
	return first
}

// regained notes that the lease holds. After a lapse it calls excuse with its
// length before any other caller goes on.
func (l *lapse) regained(now time.Time, excuse func(length time.Duration)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lapsed {
		excuse(now.Sub(l.held))
	}
	l.lapsed = false
	l.held = now
}

// excuse moves every moment of silence by the length of a lapse.
func (l *leadership) excuse(length time.Duration) {
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
	t.firstContact.Add(int64(length))
	for i := range t.shards {
		t.shards[i].shift(length)
	}
}

func (s *hostShard) shift(length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, row := range s.rows {
		later := *row
		later.seen = row.seen.Add(length)
		s.rows[id] = &later
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
