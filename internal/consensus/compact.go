package consensus

import (
	"context"
	"slices"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/errs"
)

// install makes a received snapshot durable and restores it.
func (s *Server) install(snap Snapshot) error {
	if err := s.cfg.Store.SaveSnapshot(snap); err != nil {
		return errs.Wrap(err, "save snapshot", "")
	}
	if err := s.cfg.StateMachine.Restore(snap.Data); err != nil {
		return errs.Wrap(err, "restore snapshot", "")
	}
	s.applied, s.snapshot, s.appliedBytes = snap.Index, snap.Index, 0
	for index := range s.proposals {
		if index <= snap.Index {
			s.finish(index, proposalResult{err: errs.New(errs.Timeout, stepPropose, "", "outcome unknown: replaced by a snapshot")})
		}
	}
	level.Info(s.logger).Log("msg", "Snapshot installed.", "index", snap.Index)
	return nil
}

// compact takes a snapshot once enough entries were applied.
func (s *Server) compact() error {
	if s.applied < s.snapshot+s.cfg.SnapshotEntries && s.appliedBytes < s.cfg.SnapshotBytes {
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
	s.appliedBytes = 0
	return nil
}

// TakeSnapshot compacts the log now.
func (s *Server) TakeSnapshot(ctx context.Context) error {
	return s.call(ctx, "take snapshot", func(done chan<- error) {
		err := s.takeSnapshot()
		if err != nil {
			s.fail(err)
		}
		done <- err
	})
}
