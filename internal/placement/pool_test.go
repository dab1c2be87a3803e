package placement

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// place gets a placement without waiting.
func place(t *testing.T, p *Pool, d Demand) *Placement {
	t.Helper()
	w, placement, err := p.placeOrEnqueue(&d, p.now())
	require.NoError(t, err)
	require.Nil(t, w, "a slot is free")
	return placement
}

func TestFiltersRejectTargets(t *testing.T) {
	cases := []struct {
		name   string
		block  func(*Pool, *fakeTime, *Demand)
		filter string
	}{
		{"closed", func(p *Pool, _ *fakeTime, _ *Demand) { p.targets["a"].Closed = true }, "closed"},
		{"excluded", func(_ *Pool, _ *fakeTime, d *Demand) { d.Exclude = []string{"a"} }, "excluded"},
		{"suspected", func(p *Pool, c *fakeTime, _ *Demand) { p.targets["a"].suspectUntil = c.now.Add(time.Second) }, "suspected"},
		{"suspected by another entry", func(p *Pool, _ *fakeTime, _ *Demand) {
			p.SetRemoteLoads("e2", map[string]api.Load{"a": {Target: "a", SuspectMillis: 500}})
		}, "suspected"},
		{"full", func(p *Pool, _ *fakeTime, _ *Demand) { p.targets["a"].own.running = 4 }, "busy"},
		{"full with the work of others", func(p *Pool, _ *fakeTime, _ *Demand) {
			p.targets["a"].own.running = 1
			p.SetRemoteLoads("e2", map[string]api.Load{"a": {Target: "a", Running: 3}})
		}, "busy"},
		{"first event too late", func(p *Pool, _ *fakeTime, _ *Demand) { p.targets["a"].own.prefill = 120_000 }, "slow"},
		{"cold", func(p *Pool, c *fakeTime, _ *Demand) {
			s := p.targets["a"]
			s.Cold, s.ColdRate, s.coldQuota, s.placements = true, 2, 2, []time.Time{c.now, c.now}
		}, "cold"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, clock := enginePool("a")
			d := clock.demand(1000)
			require.True(t, p.HasOther(&d))
			c.block(p, clock, &d)
			q := p.query(&d)
			for _, f := range filters {
				require.Equal(t, f.name != c.filter, f.admit(p.targets["a"], q), f.name)
			}
			require.False(t, p.HasOther(&d))
		})
	}
}

func TestFastestReplicaIsChosen(t *testing.T) {
	p, clock := enginePool("a", "b", "c")
	p.targets["a"].own.prefill = 20_000
	p.targets["b"].own.running = 3
	p.targets["b"].own.context = 6000
	p.SetRemoteLoads("e2", map[string]api.Load{"b": {Target: "b", Prefill: 8000}})
	require.Equal(t, "c", place(t, p, clock.demand(1000)).Target.ID)
}

func TestOwnFailureDomainIsPreferred(t *testing.T) {
	p, clock := enginePool("a", "b")
	far := replica("a")
	far.Domain = "z"
	p.Update([]Target{far, replica("b")}, profile(), Entries{})
	require.Equal(t, "b", place(t, p, clock.demand(100)).Target.ID)
	p.targets["b"].own.prefill = 20_000
	require.Equal(t, "a", place(t, p, clock.demand(100)).Target.ID, "a busy target costs more than another failure domain")
}

func TestReleaseRestoresLoad(t *testing.T) {
	p, clock := enginePool("a")
	first := place(t, p, clock.demand(1000))
	second := place(t, p, clock.demand(500))
	require.Equal(t, 1500, p.targets["a"].own.prefill)
	p.RecordFirstEvent(first)
	p.RecordFirstEvent(first)
	require.Equal(t, 500, p.targets["a"].own.prefill, "a prompt is taken off once")
	p.Release(first)
	p.Release(second)
	require.Equal(t, load{}, p.targets["a"].own)
}

func TestGenerationsDontShareCounts(t *testing.T) {
	p, clock := enginePool("a")
	old := place(t, p, clock.demand(1000))
	next := replica("a")
	next.Generation = 2
	p.Update([]Target{next}, profile(), Entries{})
	require.Equal(t, load{}, p.targets["a"].own)
	_, gone := p.Silence(old)
	require.True(t, gone)
	p.Release(old)
	require.Equal(t, load{}, p.targets["a"].own, "the old placement is not taken off the new generation")
}

// TestColdRateHoldsOverAllEntries lets every entry place as much as its quota allows on a
// cold target, with fewer and with more entries than the rate has requests.
func TestColdRateHoldsOverAllEntries(t *testing.T) {
	for _, c := range []struct{ rate, entries int }{{28, 4}, {28, 5}, {15, 34}, {1, 4}, {40, 34}} {
		t.Run(fmt.Sprintf("%d a second, %d entries", c.rate, c.entries), func(t *testing.T) {
			placed := placeOnCold(t, c.rate, c.entries)
			require.Greater(t, len(placed), c.rate, "some requests are placed")
			for i := range placed {
				n := 0
				for j := i; j < len(placed) && placed[j].Sub(placed[i]) < time.Second; j++ {
					n++
				}
				require.LessOrEqual(t, n, c.rate, "requests in the second from %s", placed[i])
			}
		})
	}
}

// placeOnCold returns the times of the requests placed within 3.5 s.
func placeOnCold(t *testing.T, rate, entries int) []time.Time {
	clock := newFakeTime()
	pools := make([]*Pool, 0, entries)
	cold := replica("a")
	cold.Slots, cold.Cold, cold.ColdRate = 1000, true, float64(rate)
	for _, self := range manyEntries(entries) {
		p := NewPool("m", "a", clock.Now, NewNotices())
		p.Update([]Target{cold}, profile(), Entries{Self: self.ID, Live: manyEntries(entries)})
		pools = append(pools, p)
	}
	var placed []time.Time
	for range 500 {
		for _, p := range pools {
			if d := clock.demand(1); p.HasOther(&d) {
				place(t, p, d)
				placed = append(placed, clock.now)
			}
		}
		clock.advance(7 * time.Millisecond)
	}
	return placed
}

// manyEntries returns entries in three failure domains.
func manyEntries(n int) []api.EntryInfo {
	out := make([]api.EntryInfo, n)
	for i := range out {
		out[i] = api.EntryInfo{ID: api.EntryID(fmt.Sprint("e", i)), Domain: api.FailureDomain("abc"[i%3 : i%3+1]), Live: true}
	}
	return out
}

// TestColdQuotaPrefersTargetDomain gives a rate that is too small for all entries to those of
// the target's failure domain.
func TestColdQuotaPrefersTargetDomain(t *testing.T) {
	cold := replica("a")
	cold.Domain, cold.ColdRate = "b", 9
	for _, e := range manyEntries(34) {
		quota := coldQuota(&cold, Entries{Self: e.ID, Live: manyEntries(34)})
		if e.Domain != "b" {
			require.Zero(t, quota, "%s", e.ID)
		}
		require.LessOrEqual(t, quota, 1, "%s", e.ID)
	}
}

// TestPoolChangesWhileRequestsWait replaces the targets and the profile while requests
// queue; it is meant for the race detector.
func TestPoolChangesWhileRequestsWait(*testing.T) {
	p := NewPool("m", "a", time.Now, NewNotices())
	busy := replica("a")
	busy.Slots = 1
	p.Update([]Target{busy}, profile(), Entries{})
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			d := Demand{Prompt: 100, Answer: 10, Deadline: time.Now().Add(200 * time.Millisecond)}
			if place, err := p.Acquire(context.Background(), d); err == nil {
				p.Release(place)
			}
		})
		wg.Go(func() { p.Update([]Target{busy}, profile(), Entries{}) })
	}
	wg.Wait()
}

func TestRetryBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewRetryBudget(0.2, 40, 10*time.Second)
	taken := 0
	for b.Take(now, 4) {
		taken++
	}
	require.Equal(t, 8, taken, "four fifths of this entry's part of the allowance")
	for range 100 {
		b.Count(now)
	}
	for b.Take(now, 4) {
		taken++
	}
	require.Equal(t, 24, taken, "and of a fifth of the requests")
	now = now.Add(10 * time.Second)
	require.True(t, b.Take(now, 4), "the window has moved on")
}

// waitInQueue adds requests to the queue, in order.
func waitInQueue(t *testing.T, p *Pool, demands ...Demand) []*waiter {
	t.Helper()
	out := make([]*waiter, 0, len(demands))
	for i := range demands {
		w, placement, err := p.placeOrEnqueue(&demands[i], p.now())
		require.NoError(t, err)
		require.Nil(t, placement)
		out = append(out, w)
	}
	return out
}

// isPlaced reports whether a waiter got a placement.
func isPlaced(w *waiter) bool { return len(w.placed) > 0 }

func TestQueueOrder(t *testing.T) {
	p, clock := enginePool("a")
	held := make([]*Placement, 0, 4)
	for range 4 {
		held = append(held, place(t, p, clock.demand(10)))
	}
	late := clock.demand(10)
	late.Objective = clock.now.Add(-time.Millisecond)
	later := clock.demand(10)
	urgent := clock.demand(10)
	later.Urgency, late.Urgency = 1, 1
	begun := clock.demand(10)
	begun.Begun, begun.Urgency = true, 1
	w := waitInQueue(t, p, late, later, urgent, begun)
	order := []*waiter{w[3], w[2], w[1], w[0]}
	for i, next := range order {
		p.Release(held[i])
		require.True(t, isPlaced(next), "place %d", i)
		for _, other := range order[i+1:] {
			require.False(t, isPlaced(other), "place %d", i)
		}
	}
}

func TestUnservableRequestIsRefusedAtOnce(t *testing.T) {
	p, clock := enginePool("a")
	d := clock.demand(10)
	d.Exclude = []string{"a"}
	_, _, err := p.placeOrEnqueue(&d, p.now())
	require.Equal(t, errs.Unavailable, errs.CodeOf(err), "no target is left")
	for range 4 {
		place(t, p, clock.demand(10))
	}
	p.holdTime = 2 * time.Second
	refused := false
	for range 20 {
		d := clock.demand(10)
		w, _, err := p.placeOrEnqueue(&d, p.now())
		if refused = w == nil; refused {
			require.Equal(t, errs.Full, errs.CodeOf(err))
			require.GreaterOrEqual(t, errs.RetryAfterOf(err), minRetryHint.Milliseconds())
			require.LessOrEqual(t, errs.RetryAfterOf(err), 2*maxRetryHint.Milliseconds())
			break
		}
	}
	require.True(t, refused, "the queue takes longer than the callers wait")
}

func TestAcquireEndsWithItsContext(t *testing.T) {
	p, clock := enginePool("a")
	for range 4 {
		place(t, p, clock.demand(10))
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	d := clock.demand(10)
	d.Deadline, d.FirstBy = time.Now().Add(time.Hour), time.Time{}
	_, err := p.Acquire(ctx, d)
	require.Equal(t, errs.Timeout, errs.CodeOf(err))
	require.Empty(t, p.waiting)
}

func TestSilenceAndProgress(t *testing.T) {
	p, clock := enginePool("a")
	pl := place(t, p, clock.demand(10))
	clock.advance(300 * time.Millisecond)
	require.False(t, p.Progress(nil, linked{})[0].Stalled)
	clock.advance(200 * time.Millisecond)
	progress := p.Progress(nil, linked{})
	require.True(t, progress[0].Stalled, "half a second without a byte")
	require.Equal(t, int64(-1), progress[0].AnsweredMillis)
	p.Suspect(pl, Suspicion{For: time.Second, Stalled: true})
	d := clock.demand(10)
	require.False(t, p.HasOther(&d))
	p.RecordBytes(pl)
	require.True(t, p.HasOther(&d), "a byte of an answer ends the suspicion")
	require.False(t, p.Progress(nil, linked{})[0].Stalled)
	p.Release(pl)
	clock.advance(2 * time.Second)
	require.Empty(t, p.Progress(nil, linked{}))
}

func TestReportsOfLostEntriesExpire(t *testing.T) {
	p, clock := enginePool("a")
	p.SetRemoteLoads("e2", map[string]api.Load{"a": {Target: "a", Running: 4}})
	d := clock.demand(10)
	require.False(t, p.HasOther(&d))
	clock.advance(ReportLifetime)
	require.True(t, p.HasOther(&d))
}

// cutLinks are those of an entry that hears from no server.
type cutLinks struct{}

func (cutLinks) LinksShownSince(time.Time, bool) bool { return false }

// TestSuspicionsOfCutEntryStayThere guards against one entry without links that keeps all
// others from sound servers, and against control that dissolves sound replicas.
func TestSuspicionsOfCutEntryStayThere(t *testing.T) {
	clock := newFakeTime()
	p := NewPool("m", "cairo", clock.Now, NewNotices())
	p.Update([]Target{{ID: "a", Slots: 4}}, nil, Entries{})
	pl := place(t, p, Demand{Deadline: clock.now.Add(time.Minute)})
	clock.advance(2 * StallTimeout)
	p.Suspect(pl, Suspicion{For: time.Second, Stalled: true})
	require.Positive(t, p.Loads(nil, linked{})[0].SuspectMillis)
	require.True(t, p.Progress(nil, linked{})[0].Stalled)
	require.Zero(t, p.Loads(nil, cutLinks{})[0].SuspectMillis)
	require.False(t, p.Progress(nil, cutLinks{})[0].Stalled)
	require.Equal(t, 1, p.Loads(nil, cutLinks{})[0].Running, "the work itself is reported")
}
