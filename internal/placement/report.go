package placement

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// Loads appends this entry's work on the targets of the pool.
func (p *Pool) Loads(out []api.Load) []api.Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for id, s := range p.targets {
		suspect := max(0, s.suspectUntil.Sub(now).Milliseconds())
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
// from which it received bytes within the last second.
func (p *Pool) Progress(out []api.GroupProgress) []api.GroupProgress {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for id, s := range p.targets {
		age := int64(-1)
		if !s.answeredAt.IsZero() {
			age = now.Sub(s.answeredAt).Milliseconds()
		}
		if s.own.running == 0 && (age < 0 || age > time.Second.Milliseconds()) {
			continue
		}
		out = append(out, api.GroupProgress{
			Group: api.GroupID(id), Fencing: api.Fencing(s.Generation), AnsweredMillis: age, Stalled: s.isStalled(now),
		})
	}
	return out
}
