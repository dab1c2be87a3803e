package placement

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// Links tells what this entry knows of its own links to the servers.
type Links interface {
	// LinksShownSince reports whether the links have carried anything from any server
	// after at, or for a connection attempt, whether another one has succeeded after at.
	LinksShownSince(at time.Time, dial bool) bool
}

// Loads appends this entry's work on the targets of the pool. A target that this entry
// suspects is reported as such only once other servers have shown that the links of this
// entry work.
func (p *Pool) Loads(out []api.Load, links Links) []api.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for id, s := range p.targets {
		suspect := max(0, s.suspectUntil.Sub(now).Milliseconds())
		if suspect > 0 && !links.LinksShownSince(s.suspectedAt, s.dialFailed) {
			suspect = 0
		}
		limit := s.limit.reported(now)
		if s.own == (load{}) && suspect == 0 && limit == nil {
			continue
		}
		out = append(out, api.Load{
			Target: id, Running: s.own.running, Prefill: s.own.prefill, Context: s.own.context, SuspectMillis: suspect, Limit: limit,
		})
	}
	return out
}

// SetRemoteLoads replaces the work of another entry. Targets that are missing in loads
// have none; loads of other pools are ignored.
func (p *Pool) SetRemoteLoads(entry api.EntryID, loads map[string]api.Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	freed := false
	for id, s := range p.targets {
		l, ok := loads[id]
		old := s.remote[entry]
		if !ok {
			freed = freed || old.running > 0
			delete(s.remote, entry)
			continue
		}
		freed = freed || old.running > l.Running
		row := remoteLoad{load: load{running: l.Running, prefill: l.Prefill, context: l.Context}, at: now}
		if l.SuspectMillis > 0 {
			row.suspectUntil = now.Add(time.Duration(l.SuspectMillis) * time.Millisecond)
		}
		if l.Limit != nil {
			row.limit, row.limited = *l.Limit, true
		}
		s.remote[entry] = row
	}
	if freed {
		p.placeWaiting()
	}
}

// StallTimeout is the time without a byte from a replica, on any request of an entry,
// after which it counts as stalled. A pass of a loaded replica takes about a tenth of
// a second.
const StallTimeout = 450 * time.Millisecond

// isStalled reports whether requests wait on a replica and no bytes arrive.
func (s *targetState) isStalled(now time.Time) bool {
	return s.stalled || s.own.running > 0 && now.Sub(s.waitingSince) > StallTimeout
}

// Progress appends the progress of the replicas on which this entry has requests, or
// from which it received bytes within the last second. No replica counts as stalled while
// nothing arrives from any other server either.
func (p *Pool) Progress(out []api.GroupProgress, links Links) []api.GroupProgress {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	linked := links.LinksShownSince(now.Add(-StallTimeout/2), false)
	for id, s := range p.targets {
		age := int64(-1)
		if !s.answeredAt.IsZero() {
			age = now.Sub(s.answeredAt).Milliseconds()
		}
		if s.own.running == 0 && (age < 0 || age > time.Second.Milliseconds()) {
			continue
		}
		out = append(out, api.GroupProgress{
			Group: api.GroupID(id), Fencing: api.Fencing(s.Generation), AnsweredMillis: age, Stalled: linked && s.isStalled(now),
		})
	}
	return out
}

// Waiting returns the number of targets on which requests of this entry have waited for at
// least d without a byte.
func (p *Pool) Waiting(d time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	n := 0
	for _, s := range p.targets {
		if s.own.running > 0 && now.Sub(s.waitingSince) >= d {
			n++
		}
	}
	return n
}

// Targets returns the targets of the pool.
func (p *Pool) Targets() []Target {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]Target, 0, len(p.targets))
	for _, s := range p.targets {
		out = append(out, s.Target)
	}
	return out
}
