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
	// stretchSlack is the part of a step by which the entries must fall below it
	// before leases get shorter.
	stretchSlack = 4
)

// stretch returns the factor for a number of live entries: one more for each
// started step of entries. It falls later than it rises.
func (c *Config) stretch(entries, present int) int {
	limit := min(maxStretch, max(1, int(maxStretchedLease/c.LeaseDuration)))
	want := c.stretchStep(entries, limit)
	if want < present {
		want = min(present, c.stretchStep(entries+c.StretchEntries/stretchSlack, limit))
	}
	return want
}

func (c *Config) stretchStep(entries, limit int) int {
	return min(limit, max(1, (entries+c.StretchEntries-1)/c.StretchEntries))
}

// leasePace is the stretch that one leadership grants leases with.
type leasePace struct {
	mu      sync.Mutex
	granted int
	// longUntil is when the last lease of an earlier, longer stretch runs out.
	longUntil time.Time
}

func (p *leasePace) stretch() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.granted
}

func (p *leasePace) raise(stretch int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.granted = stretch
}

func (p *leasePace) lower(stretch int, longUntil time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.granted = stretch
	p.longUntil = longUntil
}

func (p *leasePace) longEnded(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !now.Before(p.longUntil)
}

// stretched returns the work lease at a stretch.
func (s *Service) stretched(stretch int) time.Duration {
	return time.Duration(stretch) * s.cfg.LeaseDuration
}

// vouchTime returns for how long an entry vouches for its hosts beyond their
// heartbeats. Those go with the renewals at a stretch, which come three times in a
// lease; one of them may be lost.
func (s *Service) vouchTime(stretch int) time.Duration {
	if stretch <= 1 {
		return 0
	}
	return s.stretched(stretch) * 2 / 3
}

// vouch returns what an entry that reports now says of its hosts.
func (s *Service) vouch(lead *leadership, entry api.EntryID) vouch {
	now := s.cfg.Clock.Now()
	return vouch{entry: entry, now: now, until: now.Add(s.vouchTime(lead.pace.stretch()))}
}

// longestLease returns the longest work lease that an entry may hold.
func (s *Service) longestLease() time.Duration {
	committed := time.Duration(s.state.counters.load().LeaseMillis) * time.Millisecond
	return max(s.cfg.LeaseDuration, committed)
}

// stretchLeases fits the length of leases to the number of entries.
func (s *Service) stretchLeases(ctx context.Context, lead *leadership, now time.Time) {
	entries := s.state.entries.count(func(row entryRow) bool { return row.Info.Live })
	present := lead.pace.stretch()
	want := s.cfg.stretch(entries, present)
	switch {
	case want > present:
		if s.commitLease(ctx, lead, want) {
			lead.pace.raise(want)
		}
	case want < present:
		lead.pace.lower(want, now.Add(s.leaseLength()))
	case s.longestLease() > s.stretched(present) && lead.pace.longEnded(now):
		s.commitLease(ctx, lead, present)
	}
}

// commitLease replicates the length of leases at a stretch.
func (s *Service) commitLease(ctx context.Context, lead *leadership, stretch int) bool {
	cmd := &leaseCommand{Millis: s.stretched(stretch).Milliseconds(), Term: lead.term}
	_, err := propose[api.Empty](ctx, s, cmd)
	s.report("set the longest lease", err)
	if err == nil {
		level.Info(s.logger).Log("msg", "Longest work lease set", "lease", s.stretched(stretch))
	}
	return err == nil
}
