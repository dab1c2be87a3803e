package control

import (
	"fmt"
	"sync/atomic"

	"github.com/crocusway/crocusway/internal/errs"
)

// stateFailure holds the error that stopped a state, if any.
type stateFailure struct {
	err atomic.Pointer[errs.Error]
}

func (f *stateFailure) set(index uint64, cause error) error {
	err := &errs.Error{
		Code: errs.Internal,
		Step: fmt.Sprintf("apply log entry %d", index),
		Err:  cause,
	}
	f.err.Store(err)
	return err
}

func (f *stateFailure) clear() { f.err.Store(nil) }

// Err returns why the state can't apply commands any more, or nil. The voter
// must then stop; it may start again with a version that can decode the
// command.
func (s *State) Err() error {
	if err := s.failure.err.Load(); err != nil {
		return err
	}
	return nil
}
