package consensus

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// recoveryTermGap is how many terms a recovery skips. Voters that are presumed
// lost, but still run, stay far below the recovered member's term and step down
// when they receive its messages.
const recoveryTermGap = 1 << 20

// Recovery makes one member the only voter after a majority of the voters was
// lost permanently. It has to be saved in one sync before the member starts.
type Recovery struct {
	HardState HardState
	// Entries follow the last entry of the log: the new membership, then the
	// command of the state machine.
	Entries []Entry
	// Uncommitted is the number of entries of the old log that are not known to
	// be committed. All of them are accepted.
	Uncommitted uint64
}

// Recover plans a recovery from the state of the only remaining member. All
// entries of its log count as accepted; entries that only the lost members
// accepted are lost. The others count as members that lost their data folder:
// they rejoin under a new incarnation, and their old folders are never accepted
// again. It fails with errs.NotFound for a member without a log and with
// errs.Conflict for one that is no voter of its newest membership.
func Recover(state State, self api.VoterID, incarnation api.Incarnation, command []byte) (Recovery, error) {
	const step = "recover from a lost majority"
	last, lastTerm := lastIndexAndTerm(state)
	if last == 0 {
		return Recovery{}, errs.New(errs.NotFound, step, string(self), "the log is empty")
	}
	before, err := newestMembership(state)
	if err != nil {
		return Recovery{}, err
	}
	if !before.isVoter(self, incarnation) {
		return Recovery{}, errs.New(errs.Conflict, step, string(self),
			"incarnation %d is no voter of the newest membership: its log may lack accepted changes", incarnation)
	}
	data, err := cbor.Marshal(before.withSingleVoter(self))
	if err != nil {
		return Recovery{}, errs.Wrap(err, step, string(self))
	}
	term := max(state.HardState.Term, lastTerm) + recoveryTermGap
	return Recovery{
		HardState: HardState{Term: term, Vote: self, Commit: state.HardState.Commit},
		Entries: []Entry{
			{Index: last + 1, Term: term, Kind: EntryConfig, Data: data},
			{Index: last + 2, Term: term, Kind: EntryNormal, Data: command},
		},
		Uncommitted: last - min(last, max(state.HardState.Commit, state.Snapshot.Index)),
	}, nil
}

// OtherVoters returns the voters of the newest membership in a log except self.
func OtherVoters(state State, self api.VoterID) ([]api.VoterID, error) {
	m, err := newestMembership(state)
	if err != nil {
		return nil, err
	}
	var out []api.VoterID
	for _, member := range m.Members {
		if member.ID != self && !member.Learner {
			out = append(out, member.ID)
		}
	}
	return out, nil
}

func lastIndexAndTerm(state State) (index, term uint64) {
	if n := len(state.Entries); n > 0 {
		return state.Entries[n-1].Index, state.Entries[n-1].Term
	}
	return state.Snapshot.Index, state.Snapshot.Term
}

func newestMembership(state State) (Membership, error) {
	for i := len(state.Entries) - 1; i >= 0; i-- {
		if state.Entries[i].Kind == EntryConfig {
			return decodeMembership(state.Entries[i].Data)
		}
	}
	return state.Snapshot.Membership, nil
}

// withSingleVoter returns the membership with self as the only voter. The other
// members count as having lost their data folders: only a higher incarnation is
// accepted.
func (m Membership) withSingleVoter(self api.VoterID) Membership {
	out := Membership{Members: make([]Member, 0, len(m.Members))}
	for _, member := range m.Members {
		if member.ID != self {
			member.Rejoining = member.Rejoining || !member.Learner
			member.Learner = true
			member.Incarnation++
		}
		out.Members = append(out.Members, member)
	}
	return out
}
