package consensus

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
)

// encodingRate is the rate, in bytes per second, at which a control daemon with 0.12 of
// a core encodes messages.
const encodingRate = 3 << 20

// discardStore holds no state but the membership it was made with.
type discardStore struct{ state State }

func (s *discardStore) Load() (State, error)                       { return s.state, nil }
func (s *discardStore) Save(HardState, []Entry) error              { return nil }
func (s *discardStore) SaveSnapshot(Snapshot) error                { return nil }
func (s *discardStore) RenewIncarnation() (api.Incarnation, error) { return 2, nil }
func (s *discardStore) Apply(uint64, []byte) any                   { return nil }
func (s *discardStore) Snapshot() ([]byte, error)                  { return nil, nil }
func (s *discardStore) Restore([]byte) error                       { return nil }

// slowTransport spends time on each message according to its size, and answers at once
// in the place of every other member.
type slowTransport struct {
	clock  *clock.Manual
	server *Server
	// sent counts the bytes of all messages.
	sent atomic.Int64
	// watching is set once the lease must be held, lost if it was not held after a
	// message.
	watching, lost atomic.Bool
}

func (t *slowTransport) Send(to Member, msgs []Message) {
	answers := make([]Message, 0, len(msgs))
	for _, m := range msgs {
		t.sent.Add(int64(m.size()))
		t.clock.Advance(time.Duration(m.size()) * time.Second / encodingRate)
		if t.watching.Load() && !t.server.core.HasLease(t.server.now()) {
			t.lost.Store(true)
		}
		answer := Message{From: to.ID, To: m.From, Inc: BootstrapIncarnation, Term: m.Term, Round: m.Round}
		switch m.Kind {
		case MsgPreVote:
			answer.Kind = MsgPreVoteResponse
		case MsgVote:
			answer.Kind = MsgVoteResponse
		case MsgHeartbeat:
			answer.Kind = MsgHeartbeatResponse
		case MsgAppend:
			answer.Kind, answer.Index = MsgAppendResponse, m.Index+uint64(len(m.Entries))
		}
		answers = append(answers, answer)
	}
	t.server.Receive(answers)
}

func TestLargeEntriesDoNotCostTheLeaderItsLease(t *testing.T) {
	var m Membership
	for _, id := range []api.VoterID{"a", "b", "c", "d", "e"} {
		m.Members = append(m.Members, Member{ID: id, Address: string(id), Incarnation: BootstrapIncarnation})
	}
	store := &discardStore{State{HardState: HardState{Term: 1}, Snapshot: Snapshot{Membership: m}}}
	now := clock.NewManual(time.Unix(0, 0))
	transport := &slowTransport{clock: now}
	ticks := make(chan time.Time)
	server, err := NewServer(ServerConfig{
		ID: "a", Incarnation: BootstrapIncarnation, Address: "a", Store: store, StateMachine: store,
		Transport: transport, Clock: now, Ticks: ticks, SnapshotBytes: 1 << 30,
	})
	require.NoError(t, err)
	transport.server = server
	server.Start()
	t.Cleanup(server.Stop)
	for range 100 {
		now.Advance(DefaultTick)
		ticks <- now.Now()
	}
	require.True(t, server.Status().Leading)
	transport.watching.Store(true)
	const entryBytes = 600 << 10
	done := make(chan error, 3)
	for range cap(done) {
		go func() {
			_, err := server.Propose(context.Background(), make([]byte, entryBytes))
			done <- err
		}()
	}
	// From here on only sending takes time.
	want := int64(cap(done) * entryBytes * (len(m.Members) - 1))
	for len(done) < cap(done) || transport.sent.Load() < want {
		ticks <- now.Now()
		require.False(t, transport.lost.Load(), "the lease is kept while large entries are sent")
	}
	for range cap(done) {
		require.NoError(t, <-done)
	}
}
