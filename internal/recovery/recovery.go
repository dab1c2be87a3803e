// Package recovery restores a system after a majority of its voters was lost
// permanently. It works on the data folder of the one remaining voter, while no
// daemon uses it.
//
// It keeps every change in the log of that voter. Changes that only the lost voters
// had accepted are lost, including idempotency records, so that a call whose record
// is lost may run again when it is sent again.
package recovery

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/consensus"
	"github.com/crocusway/crocusway/internal/control"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/storage"
)

// Options names the data folder, its voter and the operator.
type Options struct {
	DataDir  string
	Voter    api.VoterID
	Operator string
	// Apply writes the recovery; without it, Run only reports.
	Apply bool
	// Now is the wall-clock time recorded in the history.
	Now time.Time
}

// Report describes what a recovery found and did.
type Report struct {
	Voter api.VoterID `json:"voter"`
	// Term is the newest term of the old log, NewTerm the one that follows.
	Term    uint64 `json:"term"`
	NewTerm uint64 `json:"new_term"`
	// LastIndex is the last entry of the old log.
	LastIndex uint64 `json:"last_index"`
	// Uncommitted is the number of entries that become committed although this
	// voter does not know whether a majority stored them.
	Uncommitted uint64 `json:"uncommitted"`
	// Lost lists the voters that the recovery removes.
	Lost    []api.VoterID `json:"lost"`
	Applied bool          `json:"applied"`
}

// Run reports what a recovery would do, and performs it if Options.Apply is set. It
// fails with errs.NotFound for a folder without a voter's log, and with errs.Conflict
// when the folder is in use, belongs to another voter, or its owner is not a voter.
func Run(opts Options) (Report, error) {
	store, err := storage.Open(opts.DataDir, storage.Options{Voter: opts.Voter, Existing: true})
	if err != nil {
		return Report{}, err
	}
	report, err := recoverStore(store, opts)
	if closeErr := store.Close(); err == nil {
		err = closeErr
	}
	return report, err
}

func recoverStore(store *storage.Store, opts Options) (Report, error) {
	state, err := store.Load()
	if err != nil {
		return Report{}, err
	}
	identity := store.Identity()
	lost, err := consensus.OtherVoters(state, identity.Voter)
	if err != nil {
		return Report{}, err
	}
	if len(lost) == 0 {
		return Report{}, errs.New(errs.Conflict, "recover from a lost majority", string(identity.Voter), "there are no other voters to remove")
	}
	command, err := control.EncodeRecovery(opts.Operator, lost, opts.Now)
	if err != nil {
		return Report{}, err
	}
	r, err := consensus.Recover(state, identity.Voter, identity.Incarnation, command)
	if err != nil {
		return Report{}, err
	}
	report := Report{
		Voter:       identity.Voter,
		Term:        state.HardState.Term,
		NewTerm:     r.HardState.Term,
		LastIndex:   r.Entries[0].Index - 1,
		Uncommitted: r.Uncommitted,
		Lost:        lost,
	}
	if !opts.Apply {
		return report, nil
	}
	if err := store.Save(r.HardState, r.Entries); err != nil {
		return report, err
	}
	report.Applied = true
	return report, nil
}
