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
	// maxStretchedLease bounds a stretched work lease: with an election, a change
	// is in force within 16 s.
	maxStretchedLease = 9 * time.Second
	// stretchHysteresis is the part of a step by which the entries must fall below it
	// before leases get shorter.
	stretchHysteresis = 4
)

// stretch returns the factor for a number of live entries: one more for each
// started step of entries. It falls later than it rises.
func (c *Config) stretch(entries, current int) int {
	limit := min(maxStretch, max(1, int(maxStretchedLease/c.LeaseDuration)))
	want := c.stretchStep(entries, limit)
	if want < current {
		want = min(current, c.stretchStep(entries+c.StretchEntries/stretchHysteresis, limit))
	}
	return want
}

func (c *Config) stretchStep(entries, limit int) int {
	return min(limit, max(1, (entries+c.StretchEntries-1)/c.StretchEntries))
}

// leaseStretch is the stretch that one leadership grants leases with.
type leaseStretch struct {
	mu      sync.Mutex
	granted int
	// longerUntil is when the last lease of an earlier, longer stretch runs out.
	longerUntil time.Time
}

func (p *leaseStretch) current() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.granted
}

func (p *leaseStretch) raise(stretch int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.granted = stretch
}

func (p *leaseStretch) lower(stretch int, longerUntil time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.granted = stretch
	p.longerUntil = longerUntil
}

func (p *leaseStretch) longerEnded(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.longerUntil)
}

// stretched returns the work lease at a stretch.
func (s *Service) stretched(stretch int) time.Duration {
	return time.Duration(stretch) * s.cfg.LeaseDuration
}

// heartbeatAllowance returns for how long an entry vouches for its hosts beyond their
// heartbeats. Those go with the renewals at a stretch, which come three times in a
// lease; one of them may be lost.
func (s *Service) heartbeatAllowance(stretch int) time.Duration {
	if stretch <= 1 {
		return 0
	}
	return s.stretched(stretch) * 2 / 3
}

// livenessReport returns what an entry that reports now says of its hosts.
func (s *Service) livenessReport(lead *leadership, entry api.EntryID) livenessReport {
	now := s.cfg.Clock.Now()
	return livenessReport{entry: entry, now: now, seenUntil: now.Add(s.heartbeatAllowance(lead.stretch.current()))}
}

// longestLease returns the longest work lease that an entry may hold.
func (s *Service) longestLease() time.Duration {
	committed := time.Duration(s.state.counters.load().LeaseMillis) * time.Millisecond
	return max(s.cfg.LeaseDuration, committed)
}

// stretchLeases fits the length of leases to the number of entries.
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

// commitLease replicates the length of leases at a stretch.
func (s *Service) commitLease(ctx context.Context, lead *leadership, stretch int) bool {
	cmd := &leaseCommand{Millis: s.stretched(stretch).Milliseconds(), Term: lead.term}
	_, err := propose[api.Empty](ctx, s, cmd)
	s.logFailure("set the longest lease", err)
	if err == nil {
		level.Info(s.logger).Log("msg", "Longest work lease set", "lease", s.stretched(stretch))
	}
	return err == nil
}
