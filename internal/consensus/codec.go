package consensus

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// MessageBatch is the parameter of api.MethodConsensus.
type MessageBatch struct {
	From api.VoterID `json:"from"`
	// Payload is the result of EncodeMessages.
	Payload []byte `json:"payload"`
}

// Bounds of an encoded batch.
const (
	// MaxPayloadBytes bounds one encoded batch. In base64 it fits into a frame of
	// the peer links.
	MaxPayloadBytes = 2 << 20
	// MaxBatchMessages bounds the messages of one batch.
	MaxBatchMessages = 4096
	// maxNameBytes bounds identifiers and addresses.
	maxNameBytes = 256
	maxMembers   = 64
)

var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements:  1 << 20,
		MaxMapPairs:       1 << 10,
		MaxNestedLevels:   8,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		IndefLength:       cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// EncodeMessages encodes a batch for the wire.
func EncodeMessages(msgs []Message) ([]byte, error) {
	payload, err := cbor.Marshal(msgs)
	if err != nil {
		return nil, errs.Wrap(err, "encode messages", "")
	}
	if len(payload) > MaxPayloadBytes {
		return nil, errs.New(errs.Full, "encode messages", "", "%d bytes exceed the limit of %d", len(payload), MaxPayloadBytes)
	}
	return payload, nil
}

// DecodeMessages decodes and checks a batch.
func DecodeMessages(payload []byte) ([]Message, error) {
	const step = "decode messages"
	if len(payload) > MaxPayloadBytes {
		return nil, errs.New(errs.Invalid, step, "", "%d bytes exceed the limit of %d", len(payload), MaxPayloadBytes)
	}
	var msgs []Message
	if err := decMode.Unmarshal(payload, &msgs); err != nil {
		return nil, &errs.Error{Code: errs.Invalid, Step: step, Err: err}
	}
	if len(msgs) > MaxBatchMessages {
		return nil, errs.New(errs.Invalid, step, "", "%d messages exceed the limit of %d", len(msgs), MaxBatchMessages)
	}
	for i := range msgs {
		if err := msgs[i].check(); err != nil {
			return nil, err
		}
	}
	return msgs, nil
}

// messageOverhead is the encoded size of a message without entries and chunk,
// in bytes.
const messageOverhead = 128

// size estimates the encoded size in bytes.
func (m *Message) size() int {
	size := messageOverhead
	for i := range m.Entries {
		size += len(m.Entries[i].Data) + entryOverhead
	}
	if m.Chunk != nil {
		size += len(m.Chunk.Snapshot.Data)
	}
	return size
}

// check rejects messages that no correct member sends.
func (m *Message) check() error {
	const step = "check message"
	switch {
	case m.Kind == 0 || m.Kind > lastMessageKind:
		return errs.New(errs.Invalid, step, string(m.From), "unknown kind %d", m.Kind)
	case m.From == "" || m.To == "" || len(m.From) > maxNameBytes || len(m.To) > maxNameBytes:
		return errs.New(errs.Invalid, step, "", "sender or receiver is missing or too long")
	case len(m.Address) > maxNameBytes:
		return errs.New(errs.Invalid, step, string(m.From), "address of %d bytes is too long", len(m.Address))
	case m.Term == 0 && !m.Reject && m.Kind != MsgHello && m.Kind != MsgHelloResponse:
		return errs.New(errs.Invalid, step, string(m.From), "the term is missing")
	case len(m.Entries) > 0 && m.Kind != MsgAppend:
		return errs.New(errs.Invalid, step, string(m.From), "entries in a message of kind %d", m.Kind)
	case (m.Chunk != nil) != (m.Kind == MsgSnapshot):
		return errs.New(errs.Invalid, step, string(m.From), "snapshot chunk missing or unexpected in a message of kind %d", m.Kind)
	}
	if err := m.checkEntries(); err != nil {
		return err
	}
	return m.checkChunk()
}

// checkEntries rejects entries that do not follow Index or exceed the term.
func (m *Message) checkEntries() error {
	term := m.LogTerm
	for i, e := range m.Entries {
		if e.Index != m.Index+uint64(i)+1 || e.Term < term || e.Term > m.Term || e.Kind > EntryNoop {
			return errs.New(errs.Invalid, "check message", string(m.From), "malformed entry %d", e.Index)
		}
		term = e.Term
		if e.Kind == EntryConfig {
			if _, err := decodeMembership(e.Data); err != nil {
				return err
			}
		}
	}
	return nil
}

func (m *Message) checkChunk() error {
	if m.Chunk == nil {
		return nil
	}
	c := m.Chunk
	end := c.Offset + uint64(len(c.Snapshot.Data))
	if end < c.Offset || end > c.Total || c.Snapshot.Index == 0 || c.Snapshot.Term > m.Term {
		return errs.New(errs.Invalid, "check message", string(m.From), "malformed snapshot chunk")
	}
	return c.Snapshot.Membership.check()
}

func decodeMembership(data []byte) (Membership, error) {
	var m Membership
	if err := decMode.Unmarshal(data, &m); err != nil {
		return Membership{}, &errs.Error{Code: errs.Invalid, Step: "decode membership", Err: err}
	}
	return m, m.check()
}

// check rejects a membership without voters or with ambiguous members.
func (m Membership) check() error {
	const step = "check membership"
	if m.voterCount() == 0 || len(m.Members) > maxMembers {
		return errs.New(errs.Invalid, step, "", "size out of bounds: %d members, %d voters", len(m.Members), m.voterCount())
	}
	seen := make(map[api.VoterID]bool, len(m.Members))
	for _, member := range m.Members {
		if member.ID == "" || len(member.ID) > maxNameBytes || len(member.Address) > maxNameBytes || seen[member.ID] {
			return errs.New(errs.Invalid, step, string(member.ID), "malformed or duplicate member")
		}
		seen[member.ID] = true
	}
	return nil
}
