package placement

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/errs"
)

// waitUnder returns how long a request waits for a slot of a full pool while every event but a
// free slot happens every 10 ms.
func waitUnder(t *testing.T, p *Pool, targets []Target, d Demand) time.Duration {
	t.Helper()
	notices := p.notices
	began := time.Now()
	result := make(chan error, 1)
	go func() {
		_, err := p.Acquire(t.Context(), d)
		result <- err
	}()
	for events := 1; ; events++ {
		select {
		case err := <-result:
			require.Equal(t, errs.Full, errs.CodeOf(err))
			return time.Since(began)
		case <-time.After(10 * time.Millisecond):
		}
		for _, target := range targets {
			// A pause that is over by the time of the next event.
			notices.RecordPause(source(target.Instance, target.Incarnation, time.Now()), 5*time.Millisecond, time.Now())
		}
		p.Reconsider()
		p.PlaceWaiting()
		p.Trust()
		p.Update(targets, p.profile, Entries{})
		p.SetRemoteLoads("other", nil)
	}
}

// TestWaitEndsInTimeWhateverHappens guards against waits that start again with a later limit.
func TestWaitEndsInTimeWhateverHappens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := replica("a")
		p := NewPool("ledger", "a", time.Now, NewNotices())
		p.Update([]Target{target}, nil, Entries{})
		for range target.Slots {
			place(t, p, Demand{Deadline: time.Now().Add(time.Second)})
		}
		waited := waitUnder(t, p, []Target{target}, Demand{Deadline: time.Now().Add(150 * time.Millisecond)})
		require.Equal(t, 150*time.Millisecond-minServiceTime, waited)
	})
}

// TestWaitOfLongRequestEndsInTime has a request run longer than half of its time.
func TestWaitOfLongRequestEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		target := replica("a")
		p := NewPool("scribe/m", "a", time.Now, NewNotices())
		p.Update([]Target{target}, profile(), Entries{})
		d := Demand{Prompt: 100, Answer: 5000, Deadline: time.Now().Add(2 * time.Second)}
		for range target.Slots {
			place(t, p, d)
		}
		require.Equal(t, time.Second, waitUnder(t, p, []Target{target}, d))
	})
}

// TestExpiredWaitGetsNoSlot has the clock pass the limit of a wait before its timer fires, as
// after a freeze: the slot goes to a request that can still use it.
func TestExpiredWaitGetsNoSlot(t *testing.T) {
	clock := newFakeTime()
	p, _ := noticedPool(clock)
	held := make([]*Placement, 0, 8)
	for range 8 {
		held = append(held, place(t, p, Demand{Deadline: clock.now.Add(time.Minute)}))
	}
	waiting := waitInQueue(t, p, Demand{Deadline: clock.now.Add(time.Second)}, Demand{Deadline: clock.now.Add(10 * time.Second)})
	clock.advance(2 * time.Second)
	p.Release(held[0])
	require.False(t, isPlaced(waiting[0]))
	require.True(t, isPlaced(waiting[1]))
	p.Release(held[1])
	place(t, p, Demand{Deadline: clock.now.Add(time.Second)})
}

// TestRequestPastItsDeadlineIsNotPlaced guards against attempts that fail at once for lack of
// time and count against the servers.
func TestRequestPastItsDeadlineIsNotPlaced(t *testing.T) {
	clock := newFakeTime()
	p, _ := noticedPool(clock)
	for _, begun := range []bool{false, true} {
		_, err := p.Acquire(t.Context(), Demand{Deadline: clock.now, Begun: begun})
		require.Equal(t, errs.Timeout, errs.CodeOf(err))
	}
	require.NotEmpty(t, chosen(t, p, clock, 1))
}
