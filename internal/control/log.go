package control

import (
	"context"

	"github.com/crocusway/crocusway/internal/api"
)

// Log is what the control role needs of the replicated log. It is implemented
// by consensus.Server.
type Log interface {
	// Propose appends a command and returns the result of its Apply once a
	// quorum has synced it. It fails with errs.NotLeader on another voter, and
	// with errs.Timeout when the outcome is unknown.
	Propose(ctx context.Context, command []byte) (any, error)
	// ReadBarrier returns once this node, as leader, has confirmed by a quorum
	// or by its leader lease that no newer leader exists, and has applied every
	// entry committed before the call.
	ReadBarrier(ctx context.Context) error
	// Status returns the state of this voter.
	Status() LogStatus
}

// LogStatus is the state of one voter's log.
type LogStatus struct {
	ID     api.VoterID
	Leader api.VoterID
	Term   uint64
	// Leading is set while this voter holds a valid leader lease.
	Leading bool
	// Applied is the index of the last applied entry.
	Applied uint64
	Voters  []api.VoterStatus
}

// StateMachine is what the replicated log drives. Apply must be deterministic.
type StateMachine interface {
	// Apply executes the command at a log index and returns its result.
	Apply(index uint64, command []byte) any
	// Snapshot returns the whole state, encoded.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(data []byte) error
}
