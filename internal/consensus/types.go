package consensus

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// EntryKind identifies what a log entry carries.
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

// HardState is the state that a voter syncs before it answers a message.
type HardState struct {
	Term   uint64      `json:"term" cbor:"1,keyasint"`
	Vote   api.VoterID `json:"vote" cbor:"2,keyasint"`
	Commit uint64      `json:"commit" cbor:"3,keyasint"`
}

// Member is one voter or learner of the replicated log. A learner receives
// entries but does not vote. Incarnation changes when a member restarts with an
// empty data folder; 0 stands for a learner that has not yet sent a message.
type Member struct {
	ID          api.VoterID     `json:"id" cbor:"1,keyasint"`
	Address     string          `json:"address" cbor:"2,keyasint"`
	Incarnation api.Incarnation `json:"incarnation" cbor:"3,keyasint"`
	Learner     bool            `json:"learner,omitempty" cbor:"4,keyasint,omitempty"`
	// Rejoining marks a voter that lost its data folder. The leader promotes it
	// without an operator once it has caught up.
	Rejoining bool `json:"rejoining,omitempty" cbor:"5,keyasint,omitempty"`
}

// MemberStatus is a member as its leader sees it.
type MemberStatus struct {
	Member
	// Silence is the time for which a quorum has answered the leader and this member
	// has not. It does not grow while the leader itself is frozen or cut off. It is 0
	// for the leader and on a member that does not lead.
	Silence time.Duration
	// CaughtUp is set for a learner that may be promoted.
	CaughtUp bool
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

// MessageKind identifies the request or response that a Message carries.
type MessageKind uint8

// Kinds of messages.
const (
	// MsgPreVote asks whether a vote for Term would be granted.
	MsgPreVote MessageKind = iota + 1
	// MsgPreVoteResponse answers MsgPreVote.
	MsgPreVoteResponse
	// MsgVote asks for a vote in Term.
	MsgVote
	// MsgVoteResponse answers MsgVote.
	MsgVoteResponse
	// MsgAppend carries entries that follow (Index, LogTerm).
	MsgAppend
	// MsgAppendResponse acknowledges synced entries up to Index.
	MsgAppendResponse
	// MsgHeartbeat asserts leadership in one numbered round.
	MsgHeartbeat
	// MsgHeartbeatResponse answers the round.
	MsgHeartbeatResponse
	// MsgSnapshot carries one chunk of a snapshot.
	MsgSnapshot
	// MsgSnapshotResponse reports how many bytes of the snapshot were received.
	MsgSnapshotResponse
	// MsgTransfer asks a voter to take over from a leader that released its lease.
	MsgTransfer
	// MsgHello asks whether a member is empty.
	MsgHello
	// MsgHelloResponse answers with the term and the last index.
	MsgHelloResponse

	lastMessageKind = MsgHelloResponse
)

// Message is one message between two members.
type Message struct {
	Kind MessageKind     `cbor:"1,keyasint"`
	From api.VoterID     `cbor:"2,keyasint"`
	To   api.VoterID     `cbor:"3,keyasint"`
	Inc  api.Incarnation `cbor:"4,keyasint"`
	Term uint64          `cbor:"5,keyasint"`
	// Index and LogTerm identify a log position: the last entry of a candidate,
	// the entry before Entries, or the acknowledged entry.
	Index   uint64 `cbor:"6,keyasint,omitempty"`
	LogTerm uint64 `cbor:"7,keyasint,omitempty"`
	Commit  uint64 `cbor:"8,keyasint,omitempty"`
	// Round numbers the heartbeat rounds of one leader, or is the nonce of a
	// hello.
	Round   uint64         `cbor:"9,keyasint,omitempty"`
	Reject  bool           `cbor:"10,keyasint,omitempty"`
	Hint    uint64         `cbor:"11,keyasint,omitempty"`
	Entries []Entry        `cbor:"12,keyasint,omitempty"`
	Chunk   *SnapshotChunk `cbor:"13,keyasint,omitempty"`
	// Address is the peer address of the sender.
	Address string `cbor:"14,keyasint,omitempty"`
	// Forced marks a vote request on behalf of a leader that released its lease.
	Forced bool `cbor:"15,keyasint,omitempty"`
}

// SnapshotChunk is a part of an encoded snapshot. Snapshot.Data holds the bytes
// from Offset on.
type SnapshotChunk struct {
	Snapshot Snapshot `cbor:"1,keyasint"`
	Offset   uint64   `cbor:"2,keyasint"`
	// Total is the length of the whole Data in bytes.
	Total uint64 `cbor:"3,keyasint"`
}

// ReadState reports that the read registered under ID may be served once Index
// has been applied.
type ReadState struct {
	ID    uint64
	Index uint64
	// Failed is set when leadership was lost before the read was confirmed.
	Failed bool
}

// Ready is the output of a Core. The caller sends Messages, persists Snapshot,
// then HardState and Entries in one sync, calls Advance, sends Responses and
// applies Committed.
type Ready struct {
	// Messages may be sent before anything is persisted.
	Messages []Message
	// Snapshot was received from the leader and replaces the state.
	Snapshot  *Snapshot
	HardState HardState
	Entries   []Entry
	// MustSync is set when HardState or Entries have to be persisted.
	MustSync bool
	// Responses may be sent only after the sync.
	Responses []Message
	Committed []Entry
	Reads     []ReadState
}

// State is what a Store recovers.
type State struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries are contiguous and start at Snapshot.Index+1.
	Entries []Entry
}

// Store persists the state of one member. After any method has failed, all
// later calls fail.
type Store interface {
	// Load returns the recovered state.
	Load() (State, error)
	// Save appends entries and the hard state with one sync. Entries at or below
	// the last index replace the suffix from their index on.
	Save(hs HardState, entries []Entry) error
	// SaveSnapshot makes a snapshot durable and drops the log up to its index;
	// it drops the whole log when that does not contain the snapshot's entry.
	SaveSnapshot(s Snapshot) error
	// RenewIncarnation gives the member a new incarnation, above every earlier one.
	RenewIncarnation() (api.Incarnation, error)
}

// Transport sends messages to other members. Send never blocks; messages may
// be lost.
type Transport interface {
	Send(to Member, msgs []Message)
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

// Freezer is a StateMachine whose snapshot is encoded while further commands are
// applied.
type Freezer interface {
	// Freeze returns an encoder of the current state, which runs on another
	// goroutine and must not see later commands.
	Freeze() (encode func() ([]byte, error), err error)
}

// Status is the state of one voter's log.
type Status struct {
	ID     api.VoterID
	Leader api.VoterID
	Term   uint64
	// Leading is set while this voter holds a valid leader lease.
	Leading bool
	// Applied is the index of the last applied entry.
	Applied uint64
	// Compacted is the index of the last entry that only the snapshot holds: a
	// member that lacks it is sent the snapshot.
	Compacted uint64
	Voters    []api.VoterStatus
}

// Default timing.
const (
	// DefaultTick is the interval between two calls of Core.Tick.
	DefaultTick = 50 * time.Millisecond
	// DefaultHeartbeat is the interval between two heartbeat rounds.
	DefaultHeartbeat = 2 * DefaultTick
	// DefaultElectionMin is how long after contact with a leader a member votes
	// for no other.
	DefaultElectionMin = 12 * DefaultTick
	// DefaultElectionMax bounds the randomised election timeout.
	DefaultElectionMax = 24 * DefaultTick
	// MaxClockDriftPercent is the largest deviation of a member's clock rate
	// that leader leases tolerate.
	MaxClockDriftPercent = 5
)
