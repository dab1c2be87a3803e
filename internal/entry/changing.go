package entry

import "time"

// domainReturn is how long a failure domain counts as returning after the last
// one is no longer drained.
const domainReturn = time.Minute

// DomainChanging reports whether a failure domain is drained, or was a moment
// ago and is still returning.
func (s *State) DomainChanging() bool {
	if s.Snapshot().anyDrained {
		return true
	}
	returned := s.returned.Load()
	return returned != nil && s.clock.Now().Sub(*returned) < domainReturn
}

// noteReturn remembers when the last drained domain was restored.
func (s *State) noteReturn(before, after *Snapshot) {
	if before.anyDrained && !after.anyDrained {
		now := s.clock.Now()
		s.returned.Store(&now)
	}
}
