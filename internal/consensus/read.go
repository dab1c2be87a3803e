package consensus

import "context"

// ReadBarrier returns once this member has confirmed that it was the newest
// leader at the call and has applied every entry committed before the call.
func (s *Server) ReadBarrier(ctx context.Context) error {
	return s.call(ctx, stepRead, func(done chan<- error) {
		id := s.nextRead
		s.nextRead++
		if !s.core.ReadIndex(s.now(), id) {
			done <- s.notLeader(stepRead)
			return
		}
		s.reads[id] = done
	})
}

// completeReads answers reads. Every entry up to the read index is applied by
// now, because committed entries are applied first.
func (s *Server) completeReads(states []ReadState) {
	for _, state := range states {
		done, ok := s.reads[state.ID]
		if !ok {
			continue
		}
		delete(s.reads, state.ID)
		if state.Failed {
			done <- s.notLeader(stepRead)
			continue
		}
		done <- nil
	}
}
