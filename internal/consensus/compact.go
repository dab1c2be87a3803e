package consensus

import (
	"context"
	"slices"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// installSnapshot makes a received snapshot durable and restores it.
func (s *Server) installSnapshot(snap Snapshot) error {
	if err := s.cfg.Store.SaveSnapshot(snap); err != nil {
		return errs.Wrap(err, "save snapshot", "")
	}
	if err := s.cfg.StateMachine.Restore(snap.Data); err != nil {
		return errs.Wrap(err, "restore snapshot", "")
	}
	s.applied, s.snapshot, s.appliedBytes = snap.Index, snap.Index, 0
	for index := range s.proposals {
		if index <= snap.Index {
			s.completeProposal(index, proposalResult{err: errs.New(errs.Timeout, stepPropose, "", "outcome unknown: a received snapshot replaced the entry")})
		}
	}
	level.Info(s.logger).Log("msg", "Snapshot installed.", "index", snap.Index)
	return nil
}

// encodedSnapshot is a snapshot that was encoded outside the run goroutine.
type encodedSnapshot struct {
	snapshot Snapshot
	// incarnation is that of the member when the state was frozen.
	incarnation api.Incarnation
	err         error
}

// compact starts a snapshot once enough entries or bytes were applied.
func (s *Server) compact() error {
	if s.applied < s.snapshot+s.cfg.SnapshotEntries && s.appliedBytes < s.cfg.SnapshotBytes {
		return nil
	}
	return s.beginSnapshot()
}

// beginSnapshot freezes the applied state and encodes it on another goroutine,
// one snapshot at a time.
func (s *Server) beginSnapshot() error {
	if s.encoding || s.applied == s.snapshot {
		return nil
	}
	encode, err := s.freeze()
	if err != nil {
		return errs.Wrap(err, "encode snapshot", "")
	}
	e := encodedSnapshot{snapshot: s.core.NewSnapshot(nil), incarnation: s.cfg.Core.Incarnation}
	s.encoding = true
	s.appliedBytes = 0
	s.encoders.Go(func() {
		e.snapshot.Data, e.err = encode()
		s.encoded <- e
	})
	return nil
}

func (s *Server) freeze() (encode func() ([]byte, error), err error) {
	if f, ok := s.cfg.StateMachine.(Freezer); ok {
		return f.Freeze()
	}
	data, err := s.cfg.StateMachine.Snapshot()
	return func() ([]byte, error) { return data, nil }, err
}

// finishSnapshot makes an encoded snapshot durable and drops the log that it
// replaces. It discards one that is older than a received snapshot or was taken
// under an earlier incarnation.
func (s *Server) finishSnapshot(e encodedSnapshot) {
	s.encoding = false
	if e.err == nil && e.incarnation == s.cfg.Core.Incarnation && e.snapshot.Index > s.snapshot {
		e.err = s.saveSnapshot(e.snapshot)
	}
	if e.err != nil {
		s.fail(errs.Wrap(e.err, "take snapshot", ""))
	}
	for _, done := range s.snapshotWaiters {
		done <- e.err
	}
	s.snapshotWaiters = nil
}

func (s *Server) saveSnapshot(snap Snapshot) error {
	snap.Data = slices.Clip(snap.Data)
	if err := s.cfg.Store.SaveSnapshot(snap); err != nil {
		return errs.Wrap(err, "save snapshot", "")
	}
	s.core.Compact(snap)
	s.snapshot = snap.Index
	return nil
}

// TakeSnapshot compacts the log now, or waits for the snapshot that is being
// encoded.
func (s *Server) TakeSnapshot(ctx context.Context) error {
	return s.call(ctx, "take snapshot", func(done chan<- error) {
		if err := s.beginSnapshot(); err != nil {
			s.fail(err)
			done <- err
			return
		}
		if !s.encoding {
			done <- nil
			return
		}
		s.snapshotWaiters = append(s.snapshotWaiters, done)
	})
}
