package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
)

const (
	// maxStretch bounds the factor by which leases and intervals grow.
	maxStretch = 3
	// maxStretchedLease bounds a stretched work lease so that a change is in
	// force within 16 s, including an election.
	maxStretchedLease = 9 * time.Second
	// hysteresisDivisor divides StretchEntries to give how far the number of
	// entries must fall below a step before leases get shorter.
	hysteresisDivisor = 4
)

// stretch returns the factor for a number of live entries: one for each started
// step of StretchEntries. Hysteresis keeps it from alternating near the end of a
// step.
func (c *Config) stretch(entries, current int) int {
	limit := min(maxStretch, max(1, int(maxStretchedLease/c.LeaseDuration)))
	want := c.stretchStep(entries, limit)
	if want < current {
		want = min(current, c.stretchStep(entries+c.StretchEntries/hysteresisDivisor, limit))
	}
	return want
}

func (c *Config) stretchStep(entries, limit int) int {
	return min(limit, max(1, (entries+c.StretchEntries-1)/c.StretchEntries))
}

// leaseStretch is the factor by which one leadership lengthens work leases.
type leaseStretch struct {
	mu      sync.Mutex
	granted int
	// longerUntil is when the last lease granted at a larger factor runs out.
	longerUntil time.Time
}

func (l *leaseStretch) current() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.granted
}

func (l *leaseStretch) raise(stretch int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granted = stretch
}

func (l *leaseStretch) lower(stretch int, longerUntil time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granted = stretch
	l.longerUntil = longerUntil
}

func (l *leaseStretch) longerEnded(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !now.Before(l.longerUntil)
}

// stretched returns the work lease at a stretch factor.
func (s *Service) stretched(stretch int) time.Duration {
	return time.Duration(stretch) * s.cfg.LeaseDuration
}

// heartbeatAllowance returns how long hosts count as seen beyond the heartbeats
// that their entry forwards. With stretched leases heartbeats are sent with the
// renewals, three per lease; the allowance covers the loss of one.
func (s *Service) heartbeatAllowance(stretch int) time.Duration {
	if stretch <= 1 {
		return 0
	}
	return s.stretched(stretch) * 2 / 3
}

// livenessReport returns the report of an entry whose announcements, heartbeats
// and silent hosts arrive now.
func (s *Service) livenessReport(lead *leadership, entry api.EntryID) livenessReport {
	now := s.cfg.Clock.Now()
	return livenessReport{entry: entry, now: now, seenUntil: now.Add(s.heartbeatAllowance(lead.stretch.current()))}
}

// longestLease returns the longest work lease that an entry may hold.
func (s *Service) longestLease() time.Duration {
	committed := time.Duration(s.state.counters.load().LeaseMillis) * time.Millisecond
	return max(s.cfg.LeaseDuration, committed)
}

// stretchLeases adapts the length of leases to the number of entries.
func (s *Service) stretchLeases(ctx context.Context, lead *leadership, now time.Time) {
	entries := s.state.entries.count(func(row entryRow) bool { return row.Info.Live })
	current := lead.stretch.current()
	want := s.cfg.stretch(entries, current)
	switch {
	case want > current:
		if s.commitLease(ctx, lead, want) {
			lead.stretch.raise(want)
		}
	case want < current:
		lead.stretch.lower(want, now.Add(s.leaseLength()))
	case s.longestLease() > s.stretched(current) && lead.stretch.longerEnded(now):
		s.commitLease(ctx, lead, current)
	}
}

// commitLease replicates the lease length of a stretch factor.
func (s *Service) commitLease(ctx context.Context, lead *leadership, stretch int) bool {
	cmd := &leaseCommand{Millis: s.stretched(stretch).Milliseconds(), Term: lead.term}
	_, err := propose[api.Empty](ctx, s, cmd)
	s.logFailure("set the longest lease", err)
	if err == nil {
		level.Info(s.logger).Log("msg", "Longest work lease set", "lease", s.stretched(stretch))
	}
	return err == nil
}
