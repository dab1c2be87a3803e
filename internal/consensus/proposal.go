package consensus

import (
	"context"

	"github.com/crocusway/crocusway/internal/errs"
)

// proposal is a caller that waits until its entry is applied locally.
type proposal struct {
	term uint64
	// size is the length of the command in bytes.
	size int
	done chan proposalResult
}

type proposalResult struct {
	value any
	err   error
}

const (
	stepPropose = "propose"
	stepRead    = "read barrier"
	stepMember  = "change members"
)

// Propose appends a command and returns the result of its Apply. It fails with
// errs.NotLeader when the command was definitely not committed, with the
// address of the leader as Detail, and with errs.Timeout when the outcome is
// unknown.
func (s *Server) Propose(ctx context.Context, command []byte) (any, error) {
	if len(command) > s.cfg.MaxCommandBytes {
		return nil, errs.New(errs.Invalid, stepPropose, "", "%d bytes exceed the limit of %d", len(command), s.cfg.MaxCommandBytes)
	}
	return s.propose(ctx, stepPropose, len(command), func() (uint64, uint64, error) {
		if s.core.uncommitted() >= maxUncommitted || s.pendingBytes+len(command) > maxPendingBytes {
			return 0, 0, errs.New(errs.Full, stepPropose, "", "too many commands wait for a quorum")
		}
		index, term, ok := s.core.Propose(command)
		if !ok {
			return 0, 0, s.notLeader(stepPropose)
		}
		return index, term, nil
	})
}

// ChangeMembers commits one membership change. It fails with errs.Unavailable
// while another change is running or the learner to promote lags behind.
func (s *Server) ChangeMembers(ctx context.Context, change Change) error {
	_, err := s.propose(ctx, stepMember, 0, func() (uint64, uint64, error) {
		if s.core.role != leader {
			return 0, 0, s.notLeader(stepMember)
		}
		return s.core.ProposeMembership(change)
	})
	return err
}

// AddLearner adds a member that receives the log but does not vote.
func (s *Server) AddLearner(ctx context.Context, m Member) error {
	return s.ChangeMembers(ctx, Change{Kind: ChangeAddLearner, Member: m})
}

// Promote turns a learner that has caught up into a voter.
func (s *Server) Promote(ctx context.Context, m Member) error {
	return s.ChangeMembers(ctx, Change{Kind: ChangePromote, Member: m})
}

// Remove removes a member.
func (s *Server) Remove(ctx context.Context, m Member) error {
	return s.ChangeMembers(ctx, Change{Kind: ChangeRemove, Member: m})
}

// propose runs start on the run goroutine and waits for the entry it appended.
func (s *Server) propose(
	ctx context.Context, step string, size int, start func() (index, term uint64, err error),
) (any, error) {
	ctx, cancel := s.withDefaultTimeout(ctx)
	defer cancel()
	p := &proposal{size: size, done: make(chan proposalResult, 1)}
	err := s.submit(ctx, step, func() {
		index, term, err := start()
		if err != nil {
			p.done <- proposalResult{err: err}
			return
		}
		p.term = term
		// An entry of an earlier term at this index is no longer in the log of this
		// later leader, so it was not committed.
		s.completeProposal(index, proposalResult{err: s.notLeader(step)})
		s.proposals[index] = p
		s.pendingBytes += size
	})
	if err != nil {
		return nil, err
	}
	select {
	case r := <-p.done:
		return r.value, r.err
	case <-ctx.Done():
		return nil, errs.New(errs.Timeout, step, "", "outcome unknown: %w", ctx.Err())
	case <-s.done:
		return s.resultAfterStop(p, step)
	}
}

// resultAfterStop prefers a result that was delivered before the server ended.
func (s *Server) resultAfterStop(p *proposal, step string) (any, error) {
	select {
	case r := <-p.done:
		return r.value, r.err
	default:
		return nil, errs.New(errs.Timeout, step, "", "outcome unknown: %w", s.stoppedError(step))
	}
}

// apply executes committed entries and returns the values of Apply.
func (s *Server) apply(entries []Entry) []any {
	values := make([]any, len(entries))
	for i, e := range entries {
		if e.Kind == EntryNormal {
			values[i] = s.cfg.StateMachine.Apply(e.Index, e.Data)
		}
		s.applied = e.Index
		s.appliedBytes += len(e.Data)
	}
	return values
}

// completeProposals delivers the results of applied entries to their proposers.
func (s *Server) completeProposals(entries []Entry, values []any) {
	for i, e := range entries {
		p, ok := s.proposals[e.Index]
		if !ok {
			continue
		}
		r := proposalResult{value: values[i]}
		if p.term != e.Term {
			// Another entry was committed at this index.
			r = proposalResult{err: s.notLeader(stepPropose)}
		}
		s.completeProposal(e.Index, r)
	}
}

// completeProposal delivers the result of the proposal at an index, if any.
func (s *Server) completeProposal(index uint64, r proposalResult) {
	p, ok := s.proposals[index]
	if !ok {
		return
	}
	delete(s.proposals, index)
	s.pendingBytes -= p.size
	p.done <- r
}

// failPending fails all pending proposals and reads when the server stops.
func (s *Server) failPending() {
	for _, p := range s.proposals {
		p.done <- proposalResult{err: errs.New(errs.Timeout, stepPropose, "", "outcome unknown: %w", s.stoppedError(stepPropose))}
	}
	for _, done := range s.reads {
		done <- s.stoppedError(stepRead)
	}
	s.proposals, s.reads = nil, nil
}
