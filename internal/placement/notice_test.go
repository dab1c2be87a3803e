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

// lifeInterval is the time between two starts of the server a, the first of them at the start
// of the clock.
const lifeInterval = 30 * time.Minute

// life returns the incarnation of a server that started for the nth time.
func life(n int) api.Incarnation {
	return api.Incarnation(newFakeTime().now.Add(time.Duration(n-1) * lifeInterval).UnixMilli())
}

// lives returns both servers, a in the given life.
func lives(a int) []Target { return started(life(a)) }

// started returns both servers, a in the given incarnation.
func started(a api.Incarnation) []Target {
	return []Target{
		{ID: "a", Instance: "a", Incarnation: a, Generation: uint64(a), Slots: 4},
		{ID: "b", Instance: "b", Incarnation: life(1), Generation: uint64(life(1)), Slots: 4},
	}
}

// source is a server that answers a request which was sent at the given time.
func source(server api.HostID, named api.Incarnation, at time.Time) Source {
	return Source{Server: server, Incarnation: named, Connected: at}
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
	require.True(t, notices.RecordLeaving(source("a", life(1), clock.now), clock.now))
	require.False(t, notices.RecordLeaving(source("a", life(1), clock.now), clock.now))
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
	began := newFakeTime().now
	require.False(t, notices.RecordLeaving(source("a", life(0), began), clock.now), "a late answer of an older life")
	require.Positive(t, chosen(t, p, clock, 40)["a"])
}

// TestNoticeOutlastsLateView guards against requests to a server that started again under its
// id before it said that it leaves, or asked for a pause, while the view named its former life.
func TestNoticeOutlastsLateView(t *testing.T) {
	for _, record := range []func(*Notices, Source, time.Time){
		func(n *Notices, from Source, now time.Time) { n.RecordLeaving(from, now) },
		func(n *Notices, from Source, now time.Time) { n.RecordPause(from, MaxPause, now) },
	} {
		clock := newFakeTime()
		p, notices := noticedPool(clock)
		clock.advance(10 * time.Second)
		second := api.Incarnation(clock.now.UnixMilli())
		clock.advance(20 * time.Second)
		record(notices, source("a", life(1), clock.now), clock.now)
		for range 2 {
			p.Update(started(second), nil, Entries{})
			require.Equal(t, map[string]int{"b": 20}, chosen(t, p, clock, 20))
			p.Update(lives(1), nil, Entries{})
			require.Equal(t, map[string]int{"b": 20}, chosen(t, p, clock, 20), "an older view")
			clock.advance(MaxPause - time.Second)
		}
		third := api.Incarnation(clock.now.UnixMilli())
		p.Update(started(third), nil, Entries{})
		require.Positive(t, chosen(t, p, clock, 40)["a"], "started after the notice")
	}
}

// TestNoticeHoldsInDoubtForATime has a server start within the difference of clocks before or
// after the notice.
func TestNoticeHoldsInDoubtForATime(t *testing.T) {
	for _, offset := range []time.Duration{-time.Second, -time.Millisecond, time.Millisecond, time.Second} {
		clock := newFakeTime()
		p, notices := noticedPool(clock)
		clock.advance(time.Minute)
		notices.RecordLeaving(source("a", life(1), clock.now), clock.now)
		p.Update(started(api.Incarnation(clock.now.Add(offset).UnixMilli())), nil, Entries{})
		clock.advance(doubtLifetime - time.Millisecond)
		require.Equal(t, map[string]int{"b": 20}, chosen(t, p, clock, 20), offset)
		clock.advance(time.Millisecond)
		require.Positive(t, chosen(t, p, clock, 40)["a"], offset)
	}
}

// TestLateNoticeOfFormerLifeDoesNotCount has an entry process an answer long after the server
// that sent it, on a kept connection, has started again.
func TestLateNoticeOfFormerLifeDoesNotCount(t *testing.T) {
	clock := newFakeTime()
	p, notices := noticedPool(clock)
	sent := clock.now
	clock.advance(lifeInterval + time.Second)
	p.Update(lives(2), nil, Entries{})
	notices.RecordPause(source("a", life(2), clock.now), time.Second, clock.now)
	require.True(t, notices.RecordLeaving(source("a", life(1), sent), clock.now))
	notices.RecordPause(source("a", life(1), sent), time.Hour, clock.now)
	require.Zero(t, chosen(t, p, clock, 20)["a"])
	clock.advance(time.Second)
	require.Positive(t, chosen(t, p, clock, 40)["a"])
}

func TestRequestIsRefusedAtOnceIfAllLeave(t *testing.T) {
	clock := newFakeTime()
	p, notices := noticedPool(clock)
	notices.RecordLeaving(source("a", life(1), clock.now), clock.now)
	notices.RecordLeaving(source("b", life(1), clock.now), clock.now)
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
		notices.RecordPause(source("a", life(1), clock.now), pause, clock.now)
		notices.RecordPause(source("a", life(1), clock.now), pause/2, clock.now)
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
	notices.RecordPause(source("a", life(1), clock.now), 3*time.Second, clock.now)
	notices.RecordPause(source("b", life(1), clock.now), 5*time.Second, clock.now)
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
	p.notices.RecordPause(source("a", life(1), time.Now()), time.Minute, time.Now())
	p.Reconsider()
	p.mu.Lock()
	require.Len(t, p.waiting, 1, "the other server may still take it")
	p.mu.Unlock()
	p.notices.RecordPause(source("b", life(1), time.Now()), time.Minute, time.Now())
	p.Reconsider()
	require.Equal(t, errs.Full, errs.CodeOf(<-result))
}

func TestNoticesAreBounded(t *testing.T) {
	n, now := NewNotices(), time.Unix(1_000_000, 0)
	for i := range maxNotices + 10 {
		at := now.Add(time.Duration(i))
		n.RecordLeaving(source(api.HostID(fmt.Sprint(i)), 1, at), at)
	}
	require.Len(t, n.rows, maxNotices)
	require.False(t, n.leaves(&Target{Instance: "0", Incarnation: 1}, now), "the oldest notice is dropped")
	n.RecordPause(source("x", 1, now), 1000*time.Hour, now)
	require.Equal(t, now.Add(MaxPause), n.pausedUntil(&Target{Instance: "x", Incarnation: 1}, now))
}
