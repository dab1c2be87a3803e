package consensus

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSnapshotChunksAreNotRepeatedAtEachHeartbeat sends a snapshot to a member that
// answers heartbeats at once and takes a second to process a chunk.
func TestSnapshotChunksAreNotRepeatedAtEachHeartbeat(t *testing.T) {
	m := Membership{Members: []Member{
		{ID: "a", Address: "a", Incarnation: BootstrapIncarnation}, {ID: "b", Address: "b", Incarnation: BootstrapIncarnation},
	}}
	data := make([]byte, 3*defaultChunkBytes)
	core := NewCore(CoreConfig{ID: "a", Incarnation: BootstrapIncarnation}, State{
		HardState: HardState{Term: 1, Commit: 10}, Snapshot: Snapshot{Index: 10, Term: 1, Membership: m, Data: data},
	}, 0)
	var now time.Duration
	chunks := 0
	answer := func(m Message) {
		m.From, m.To, m.Inc, m.Term = "b", "a", BootstrapIncarnation, core.term
		core.Step(now, m)
	}
	drain := func() {
		for core.HasReady() {
			rd := core.Ready()
			core.Advance()
			for _, sent := range append(rd.Messages, rd.Responses...) {
				switch sent.Kind {
				case MsgPreVote:
					core.Step(now, Message{Kind: MsgPreVoteResponse, From: "b", To: "a", Inc: BootstrapIncarnation, Term: sent.Term})
				case MsgVote:
					answer(Message{Kind: MsgVoteResponse})
				case MsgAppend:
					answer(Message{Kind: MsgAppendResponse, Reject: true, Index: sent.Index})
				case MsgHeartbeat:
					answer(Message{Kind: MsgHeartbeatResponse, Round: sent.Round})
				case MsgSnapshot:
					chunks++
				}
			}
		}
	}
	for core.role != leader {
		now += DefaultTick
		core.Tick(now)
		drain()
	}
	for chunks == 0 {
		now += DefaultTick
		core.Tick(now)
		drain()
	}
	for range time.Second / DefaultTick {
		now += DefaultTick
		core.Tick(now)
		drain()
	}
	require.LessOrEqual(t, chunks, 1+int(time.Second/DefaultHeartbeat)/(1+lostMessageRounds))
	require.Greater(t, chunks, 1, "a chunk may have been lost")
	before := chunks
	answer(Message{Kind: MsgSnapshotResponse, Index: 10, Hint: defaultChunkBytes})
	drain()
	require.Equal(t, before+1, chunks, "the next chunk follows at once")
}
