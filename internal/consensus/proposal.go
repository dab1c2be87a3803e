package consensus

import (
	"context"
	"slices"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/errs"
)

// proposal waits for the local application of one entry.
type proposal struct {
	term uint64
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
// errs.NotLeader when the command was certainly not committed, its Detail being
// the address of the leader, and with errs.Timeout when the outcome is unknown.
func (s *Server) Propose(ctx context.Context, command []byte) (any, error) {
	if len(command) > s.cfg.MaxCommandBytes {
		return nil, errs.New(errs.Invalid, stepPropose, "", "%d bytes exceed %d", len(command), s.cfg.MaxCommandBytes)
	}
	return s.propose(ctx, stepPropose, func() (uint64, uint64, error) {
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
	_, err := s.propose(ctx, stepMember, func() (uint64, uint64, error) {
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
func (s *Server) propose(ctx context.Context, step string, start func() (index, term uint64, err error)) (any, error) {
	ctx, cancel := s.bound(ctx)
	defer cancel()
	p := &proposal{done: make(chan proposalResult, 1)}
	err := s.submit(ctx, step, func() {
		index, term, err := start()
		if err != nil {
			p.done <- proposalResult{err: err}
			return
		}
		p.term = term
		s.proposals[index] = p
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
		return s.afterStop(p, step)
	}
}

// bound adds a deadline to a context that has none.
func (s *Server) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, bounded := ctx.Deadline(); bounded {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, s.cfg.ProposalTimeout)
}

// afterStop prefers a result that was delivered before the server ended.
func (s *Server) afterStop(p *proposal, step string) (any, error) {
	select {
	case r := <-p.done:
		return r.value, r.err
	default:
		return nil, errs.New(errs.Timeout, step, "", "outcome unknown: %w", s.stopped(step))
	}
}

// apply executes committed entries and answers their proposers.
func (s *Server) apply(entries []Entry) {
	for _, e := range entries {
		var value any
		if e.Kind == EntryNormal {
			value = s.cfg.StateMachine.Apply(e.Index, e.Data)
		}
		s.applied = e.Index
		s.answer(e, value)
	}
}

func (s *Server) answer(e Entry, value any) {
	p, ok := s.proposals[e.Index]
	if !ok {
		return
	}
	delete(s.proposals, e.Index)
	if p.term != e.Term {
		// Another entry was committed in its place.
		p.done <- proposalResult{err: s.notLeader(stepPropose)}
		return
	}
	p.done <- proposalResult{value: value}
}

// abandon answers everything that still waits when the server ends.
func (s *Server) abandon() {
	for _, p := range s.proposals {
		p.done <- proposalResult{err: errs.New(errs.Timeout, stepPropose, "", "outcome unknown: %w", s.stopped(stepPropose))}
	}
	for _, r := range s.reads {
		r.done <- s.stopped(stepRead)
	}
	s.proposals, s.reads = nil, nil
}

// read waits for a confirmed read index.
type read struct {
	done chan error
}

// ReadBarrier returns once this member, as leader, knows that no newer leader
// existed at the call and has applied every entry committed before the call.
func (s *Server) ReadBarrier(ctx context.Context) error {
	ctx, cancel := s.bound(ctx)
	defer cancel()
	r := &read{done: make(chan error, 1)}
	err := s.submit(ctx, stepRead, func() {
		id := s.nextRead
		s.nextRead++
		if !s.core.ReadIndex(s.now(), id) {
			r.done <- s.notLeader(stepRead)
			return
		}
		s.reads[id] = r
	})
	if err != nil {
		return err
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		return errs.New(errs.Timeout, stepRead, "", "not confirmed: %w", ctx.Err())
	case <-s.done:
		return s.stopped(stepRead)
	}
}

// confirmReads answers reads. Every entry up to the read index has been applied
// by now, because committed entries are applied before.
func (s *Server) confirmReads(states []ReadState) {
	for _, state := range states {
		r, ok := s.reads[state.ID]
		if !ok {
			continue
		}
		delete(s.reads, state.ID)
		if state.Failed {
			r.done <- s.notLeader(stepRead)
			continue
		}
		r.done <- nil
	}
}

// install makes a received snapshot durable and restores it.
func (s *Server) install(snap Snapshot) error {
	if err := s.cfg.Store.SaveSnapshot(snap); err != nil {
		return errs.Wrap(err, "save snapshot", "")
	}
	if err := s.cfg.StateMachine.Restore(snap.Data); err != nil {
		return errs.Wrap(err, "restore snapshot", "")
	}
	s.applied, s.snapshot = snap.Index, snap.Index
	for index, p := range s.proposals {
		if index <= snap.Index {
			delete(s.proposals, index)
			p.done <- proposalResult{err: errs.New(errs.Timeout, stepPropose, "", "outcome unknown: replaced by a snapshot")}
		}
	}
	level.Info(s.logger).Log("msg", "Snapshot installed.", "index", snap.Index)
	return nil
}

// compact takes a snapshot once enough entries were applied.
func (s *Server) compact() error {
	if s.applied < s.snapshot+s.cfg.SnapshotEntries {
		return nil
	}
	return s.takeSnapshot()
}

func (s *Server) takeSnapshot() error {
	if s.applied == s.snapshot {
		return nil
	}
	data, err := s.cfg.StateMachine.Snapshot()
	if err != nil {
		return errs.Wrap(err, "encode snapshot", "")
	}
	snap := s.core.NewSnapshot(slices.Clip(data))
	if err := s.cfg.Store.SaveSnapshot(snap); err != nil {
		return errs.Wrap(err, "save snapshot", "")
	}
	s.core.Compact(snap)
	s.snapshot = snap.Index
	return nil
}

// TakeSnapshot compacts the log now.
func (s *Server) TakeSnapshot(ctx context.Context) error {
	ctx, cancel := s.bound(ctx)
	defer cancel()
	done := make(chan error, 1)
	err := s.submit(ctx, "take snapshot", func() {
		err := s.takeSnapshot()
		if err != nil {
			s.fail(err)
		}
		done <- err
	})
	if err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errs.New(errs.Timeout, "take snapshot", "", "not finished: %w", ctx.Err())
	case <-s.done:
		return s.stopped("take snapshot")
	}
}
