package control

import (
	"fmt"
	"sync/atomic"

	"github.com/crocusway/crocusway/internal/errs"
)

// stateFailure is why a state can't go on, if it can't.
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
// then has to stop; it may start again with a version that knows the command.
func (s *State) Err() error {
	if err := s.failure.err.Load(); err != nil {
		return err
	}
	return nil
}
