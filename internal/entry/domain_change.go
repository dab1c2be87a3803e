package entry

import "time"

// domainReturnPeriod is how long the return of failure domains lasts, counted from
// when no domain is drained any more.
const domainReturnPeriod = time.Minute

// DomainChanging reports whether a failure domain is drained, or was drained within
// the last domainReturnPeriod.
func (s *State) DomainChanging() bool {
	if s.Snapshot().anyDrained {
		return true
	}
	restoredAt := s.restoredAt.Load()
	return restoredAt != nil && s.clock.Now().Sub(*restoredAt) < domainReturnPeriod
}

// recordDomainReturn records the time at which the last drained domain was restored.
func (s *State) recordDomainReturn(before, after *Snapshot) {
	if before.anyDrained && !after.anyDrained {
		now := s.clock.Now()
		s.restoredAt.Store(&now)
	}
}
