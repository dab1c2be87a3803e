package consensus

import "github.com/crocusway/crocusway/internal/api"

// EntryKind tells what a log entry carries.
type EntryKind uint8

// Kinds of log entries.
const (
	// EntryNormal carries a command of the state machine.
	EntryNormal EntryKind = iota
	// EntryConfig carries a Membership, encoded by the core.
	EntryConfig
	// EntryNoop is appended by a new leader to commit entries of older terms.
	EntryNoop
)

// Entry is one position of the replicated log.
type Entry struct {
	Index uint64    `json:"i" cbor:"1,keyasint"`
	Term  uint64    `json:"t" cbor:"2,keyasint"`
	Kind  EntryKind `json:"k,omitempty" cbor:"3,keyasint,omitempty"`
	Data  []byte    `json:"d,omitempty" cbor:"4,keyasint,omitempty"`
}

// HardState is what a voter must have synced before it answers a message.
type HardState struct {
	Term   uint64      `json:"term" cbor:"1,keyasint"`
	Vote   api.VoterID `json:"vote" cbor:"2,keyasint"`
	Commit uint64      `json:"commit" cbor:"3,keyasint"`
}

// Member is one node of the replicated log. A learner receives entries but
// does not vote. Incarnation changes when a node comes back with an empty data
// folder.
type Member struct {
	ID          api.VoterID     `json:"id" cbor:"1,keyasint"`
	Address     string          `json:"address" cbor:"2,keyasint"`
	Incarnation api.Incarnation `json:"incarnation" cbor:"3,keyasint"`
	Learner     bool            `json:"learner,omitempty" cbor:"4,keyasint,omitempty"`
}

// Membership is the set of members in force from one log index on.
type Membership struct {
	Members []Member `json:"members" cbor:"1,keyasint"`
}

// Snapshot replaces the log up to and including Index.
type Snapshot struct {
	Index      uint64     `json:"index" cbor:"1,keyasint"`
	Term       uint64     `json:"term" cbor:"2,keyasint"`
	Membership Membership `json:"membership" cbor:"3,keyasint"`
	Data       []byte     `json:"data" cbor:"4,keyasint"`
}
