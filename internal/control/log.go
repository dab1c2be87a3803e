package control

import (
	"context"

	"github.com/crocusway/crocusway/internal/consensus"
)

// Log is what the control role needs of the replicated log. It is implemented
// by consensus.Server.
type Log interface {
	// Propose appends a command and returns the result of its Apply once a
	// quorum has synced it. It fails with errs.NotLeader on another voter, and
	// with errs.Timeout when the outcome is unknown.
	Propose(ctx context.Context, command []byte) (any, error)
	// ReadBarrier returns once this voter, as leader, has confirmed by a quorum
	// or by its leader lease that no newer leader exists, and has applied every
	// entry committed before the call.
	ReadBarrier(ctx context.Context) error
	// Status returns the state of this voter.
	Status() LogStatus
}

// LogStatus is the state of one voter's log.
type LogStatus = consensus.Status

// StateMachine is what the replicated log drives. Apply must be deterministic.
type StateMachine = consensus.StateMachine
