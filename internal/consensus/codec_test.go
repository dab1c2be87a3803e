package consensus

import (
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

func validMessages() []Message {
	members := Membership{Members: []Member{{ID: "a", Incarnation: 1}, {ID: "b", Address: "127.0.0.1:1", Learner: true}}}
	config, err := cbor.Marshal(members)
	if err != nil {
		panic(err)
	}
	return []Message{
		{Kind: MsgPreVote, From: "a", To: "b", Inc: 1, Term: 2, Index: 3, LogTerm: 1},
		{Kind: MsgVoteResponse, From: "a", To: "b", Inc: 1, Reject: true},
		{Kind: MsgHeartbeat, From: "a", To: "b", Inc: 1, Term: 2, Round: 9, Commit: 3, LogTerm: 1, Address: "127.0.0.1:2"},
		{Kind: MsgAppend, From: "a", To: "b", Inc: 1, Term: 2, Index: 3, LogTerm: 1, Commit: 3, Entries: []Entry{
			{Index: 4, Term: 1, Data: []byte("command")}, {Index: 5, Term: 2, Kind: EntryConfig, Data: config},
		}},
		{Kind: MsgSnapshot, From: "a", To: "b", Inc: 1, Term: 2, Chunk: &SnapshotChunk{
			Snapshot: Snapshot{Index: 3, Term: 1, Membership: members, Data: []byte("state")}, Offset: 1, Total: 10,
		}},
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	payload, err := EncodeMessages(validMessages())
	require.NoError(t, err)
	got, err := DecodeMessages(payload)
	require.NoError(t, err)
	require.Equal(t, validMessages(), got)
	for cut := range payload {
		_, err := DecodeMessages(payload[:cut])
		require.True(t, errs.Is(err, errs.Invalid), "cut at %d", cut)
	}
}

func TestMalformedMessagesAreRefused(t *testing.T) {
	cases := []struct {
		name   string
		change func(m *Message)
	}{
		{"no kind", func(m *Message) { m.Kind = 0 }},
		{"unknown kind", func(m *Message) { m.Kind = lastMessageKind + 1 }},
		{"no sender", func(m *Message) { m.From = "" }},
		{"no receiver", func(m *Message) { m.To = "" }},
		{"long sender", func(m *Message) { m.From = api.VoterID(strings.Repeat("x", 300)) }},
		{"long address", func(m *Message) { m.Address = strings.Repeat("x", 300) }},
		{"no term", func(m *Message) { m.Term = 0 }},
		{"entries in a heartbeat", func(m *Message) { m.Kind = MsgHeartbeat }},
		{"chunk in an append", func(m *Message) { m.Chunk = &SnapshotChunk{} }},
		{"snapshot without chunk", func(m *Message) { m.Kind = MsgSnapshot; m.Entries = nil }},
		{"gap in the entries", func(m *Message) { m.Entries[1].Index = 7 }},
		{"first entry not after the index", func(m *Message) { m.Index = 4 }},
		{"decreasing terms", func(m *Message) { m.Entries[0].Term = 2; m.Entries[1].Term = 1 }},
		{"term above the message term", func(m *Message) { m.Entries[1].Term = 3 }},
		{"unknown entry kind", func(m *Message) { m.Entries[0].Kind = 9 }},
		{"malformed membership", func(m *Message) { m.Entries[1].Data = []byte("x") }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := validMessages()[3]
			tc.change(&m)
			requireInvalid(t, m)
		})
	}
}

func TestMalformedChunksAreRefused(t *testing.T) {
	cases := []struct {
		name   string
		change func(c *SnapshotChunk)
	}{
		{"offset beyond the total", func(c *SnapshotChunk) { c.Offset = 8 }},
		{"offset that overflows", func(c *SnapshotChunk) { c.Offset = ^uint64(0) }},
		{"no index", func(c *SnapshotChunk) { c.Snapshot.Index = 0 }},
		{"term above the message term", func(c *SnapshotChunk) { c.Snapshot.Term = 9 }},
		{"no voter", func(c *SnapshotChunk) { c.Snapshot.Membership.Members = nil }},
		{"duplicate member", func(c *SnapshotChunk) { c.Snapshot.Membership.Members[1].ID = "a" }},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := validMessages()[4]
			tc.change(m.Chunk)
			requireInvalid(t, m)
		})
	}
}

func requireInvalid(t *testing.T, m Message) {
	payload, err := EncodeMessages([]Message{m})
	require.NoError(t, err)
	_, err = DecodeMessages(payload)
	require.True(t, errs.Is(err, errs.Invalid), "%v", err)
}

func TestOversizedBatchesAreRefused(t *testing.T) {
	_, err := DecodeMessages(make([]byte, MaxPayloadBytes+1))
	require.True(t, errs.Is(err, errs.Invalid))
	big := validMessages()[3]
	big.Entries[0].Data = make([]byte, MaxPayloadBytes)
	_, err = EncodeMessages([]Message{big})
	require.True(t, errs.Is(err, errs.Full))
	many := make([]Message, MaxBatchMessages+1)
	for i := range many {
		many[i] = validMessages()[0]
	}
	payload, err := EncodeMessages(many)
	require.NoError(t, err)
	_, err = DecodeMessages(payload)
	require.True(t, errs.Is(err, errs.Invalid))
	require.Equal(t, batchBytes/messageOverhead, batchLength(many))
}

// FuzzDecodeMessages checks that accepted input survives a round trip and does
// not crash a core.
func FuzzDecodeMessages(f *testing.F) {
	payload, err := EncodeMessages(validMessages())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(payload)
	for _, m := range validMessages() {
		one, err := EncodeMessages([]Message{m})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(one)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		msgs, err := DecodeMessages(data)
		if err != nil {
			return
		}
		again, err := EncodeMessages(msgs)
		require.NoError(t, err)
		back, err := DecodeMessages(again)
		require.NoError(t, err)
		require.Len(t, back, len(msgs))
		core := NewCore(CoreConfig{ID: "b", Incarnation: 1}, State{}, 0)
		for _, m := range back {
			m.To = "b"
			core.Step(0, m)
			for core.HasReady() {
				core.Ready()
				core.Advance()
			}
		}
	})
}
