package placement

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// noticedPool returns a pool with two servers, a and b, in their first life.
func noticedPool(clock *fakeTime) (*Pool, *Notices) {
	notices := NewNotices()
	p := NewPool("ledger", "cairo", clock.Now, notices)
	p.Update(lives(1), nil, Entries{})
	return p, notices
}

// lives returns both servers, a in the given life.
func lives(a api.Incarnation) []Target {
	return []Target{
		{ID: "a", Instance: "a", Incarnation: a, Generation: uint64(a), Slots: 4},
		{ID: "b", Instance: "b", Incarnation: 1, Generation: 1, Slots: 4},
	}
}

// chosen returns the servers that take n requests, in parallel.
func chosen(t *testing.T, p *Pool, clock *fakeTime, n int) map[string]int {
	t.Helper()
	out := make(map[string]int)
	for range n {
		pl, err := p.Acquire(t.Context(), Demand{Deadline: clock.now.Add(time.Second)})
		require.NoError(t, err)
		out[pl.Target.ID]++
		p.Release(pl)
	}
	return out
}

// TestLeavingServerGetsNothingMore guards against requests to a server whose leave only its
// answers have announced, whatever the view says.
func TestLeavingServerGetsNothingMore(t *testing.T) {
	clock := newFakeTime()
	p, notices := noticedPool(clock)
	require.True(t, notices.RecordLeaving("a", 1, clock.now))
	require.False(t, notices.RecordLeaving("a", 1, clock.now))
	require.Equal(t, map[string]int{"b": 20}, chosen(t, p, clock, 20))
	p.Update(lives(1), nil, Entries{})
	clock.advance(time.Hour)
	require.Equal(t, map[string]int{"b": 20}, chosen(t, p, clock, 20), "an older view, an hour later")

	other := lives(1)
	other[0].ID, other[0].Generation = "another group with the same head", 9
	p.Update(other, nil, Entries{})
	require.Equal(t, map[string]int{"b": 20}, chosen(t, p, clock, 20))

	p.Update(lives(2), nil, Entries{})
	require.Positive(t, chosen(t, p, clock, 40)["a"], "a new life is a new server")
	require.False(t, notices.RecordLeaving("a", 0, clock.now), "a late answer of an older life")
}

func TestRequestIsRefusedAtOnceIfAllLeave(t *testing.T) {
	clock := newFakeTime()
	p, notices := noticedPool(clock)
	notices.RecordLeaving("a", 1, clock.now)
	notices.RecordLeaving("b", 1, clock.now)
	_, err := p.Acquire(t.Context(), Demand{Deadline: clock.now.Add(time.Minute)})
	require.Equal(t, errs.Unavailable, errs.CodeOf(err))
	require.Positive(t, errs.RetryAfterOf(err))
}

// TestPauseHoldsUntilItsEnd counts what an entry sends to a server that asked for a pause;
// another entry goes on.
func TestPauseHoldsUntilItsEnd(t *testing.T) {
	for _, pause := range []time.Duration{time.Millisecond, 700 * time.Millisecond, 10 * time.Second} {
		clock := newFakeTime()
		p, notices := noticedPool(clock)
		other, _ := noticedPool(clock)
		notices.RecordPause("a", 1, pause, clock.now)
		notices.RecordPause("a", 1, pause/2, clock.now)
		for range 10 {
			require.Zero(t, chosen(t, p, clock, 10)["a"])
			clock.advance(pause / 10)
		}
		require.Positive(t, chosen(t, p, clock, 40)["a"], "the pause is over")
		require.Positive(t, chosen(t, other, clock, 40)["a"])
		require.Empty(t, p.Loads(nil, linked{}), "a pause is no news for other entries")
	}
}

// TestPausesOfAllServersRefuseInTime expects a true retry hint: no sooner than the shortest
// pause, and spread over callers.
func TestPausesOfAllServersRefuseInTime(t *testing.T) {
	clock := newFakeTime()
	p, notices := noticedPool(clock)
	notices.RecordPause("a", 1, 3*time.Second, clock.now)
	notices.RecordPause("b", 1, 5*time.Second, clock.now)
	hints := make(map[int64]bool)
	for range 50 {
		_, err := p.Acquire(t.Context(), Demand{Deadline: clock.now.Add(time.Second)})
		require.Equal(t, errs.Full, errs.CodeOf(err))
		hint := errs.RetryAfterOf(err)
		require.GreaterOrEqual(t, hint, int64(3000))
		require.Less(t, hint, int64(5000))
		hints[hint] = true
	}
	require.Greater(t, len(hints), 25, "callers return spread")
	waiting := waitInQueue(t, p, Demand{Deadline: clock.now.Add(10 * time.Second)})
	clock.advance(3 * time.Second)
	p.PlaceWaiting()
	require.True(t, isPlaced(waiting[0]), "a request with enough time waits for the shortest pause")
}

// TestQueueMovesOnWhenLastServerPauses has a request wait for a slot when both servers ask
// for a pause that is too long for it.
func TestQueueMovesOnWhenLastServerPauses(t *testing.T) {
	p := NewPool("ledger", "cairo", time.Now, NewNotices())
	p.Update(lives(1), nil, Entries{})
	for range 8 {
		_, err := p.Acquire(t.Context(), Demand{Deadline: time.Now().Add(time.Second)})
		require.NoError(t, err)
	}
	result := make(chan error, 1)
	go func() {
		_, err := p.Acquire(context.Background(), Demand{Deadline: time.Now().Add(20 * time.Second)})
		result <- err
	}()
	require.Eventually(t, func() bool { p.mu.Lock(); defer p.mu.Unlock(); return len(p.waiting) == 1 }, time.Second, time.Millisecond)
	p.notices.RecordPause("a", 1, time.Minute, time.Now())
	p.Reconsider()
	p.mu.Lock()
	require.Len(t, p.waiting, 1, "the other server may still take it")
	p.mu.Unlock()
	p.notices.RecordPause("b", 1, time.Minute, time.Now())
	p.Reconsider()
	require.Equal(t, errs.Full, errs.CodeOf(<-result))
}

func TestNoticesAreBounded(t *testing.T) {
	n, now := NewNotices(), time.Unix(1_000_000, 0)
	for i := range maxNotices + 10 {
		n.RecordLeaving(api.HostID(fmt.Sprint(i)), 1, now.Add(time.Duration(i)))
	}
	require.Len(t, n.rows, maxNotices)
	require.False(t, n.of(&Target{Instance: "0", Incarnation: 1}).leaving, "the oldest notice is dropped")
	n.RecordPause("x", 1, 1000*time.Hour, now)
	require.Equal(t, now.Add(MaxPause), n.of(&Target{Instance: "x", Incarnation: 1}).pausedUntil)
}
