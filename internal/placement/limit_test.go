package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

const (
	// answerDelay is the time from a request to the head of its answer, reportDelay that
	// from a load report to the next.
	answerDelay = 300 * time.Millisecond
	reportDelay = 50 * time.Millisecond
	// mostPerEntry is the number of requests that an entry of the test sends in limitWindow.
	sendInterval = 10 * time.Millisecond
	mostPerEntry = int(limitWindow / sendInterval)
	// graceTime is the time from the first answer with a limit to when it has to hold.
	graceTime = 3 * time.Second
)

// limitedPlay is entries that place as many requests as they can on one server.
type limitedPlay struct {
	t       *testing.T
	clock   *fakeTime
	entries []api.EntryInfo
	pools   []*Pool
	// sent are the times of the requests, answers those that are under way.
	sent    []time.Time
	answers []delayedAnswer
}

type delayedAnswer struct {
	pool  *Pool
	place *Placement
	at    time.Time
}

func newLimitedPlay(t *testing.T, entries int) *limitedPlay {
	p := &limitedPlay{t: t, clock: newFakeTime(), entries: manyEntries(entries)}
	for range entries {
		p.pools = append(p.pools, nil)
	}
	for i := range entries {
		p.restart(i)
	}
	return p
}

// restart gives an entry a pool that knows nothing.
func (p *limitedPlay) restart(entry int) {
	server := replica("a")
	server.Slots = 1000
	pool := NewPool("m", "a", p.clock.Now, NewNotices())
	pool.Update([]Target{server}, nil, Entries{Self: p.entries[entry].ID, Live: p.entries})
	p.pools[entry] = pool
}

// run lets time pass while the server names a limit, or none.
func (p *limitedPlay) run(length time.Duration, rate float64, named bool) {
	for end := p.clock.now.Add(length); p.clock.now.Before(end); p.clock.advance(sendInterval) {
		for _, pool := range p.pools {
			if d := (Demand{Deadline: p.clock.now.Add(time.Second)}); pool.HasOther(&d) {
				p.sent = append(p.sent, p.clock.now)
				p.answers = append(p.answers, delayedAnswer{pool, place(p.t, pool, d), p.clock.now.Add(answerDelay)})
			}
		}
		for len(p.answers) > 0 && !p.clock.now.Before(p.answers[0].at) {
			a := p.answers[0]
			p.answers = p.answers[1:]
			a.pool.RecordLimit(a.place, rate, named)
			a.pool.Release(a.place)
		}
		if p.clock.now.UnixMilli()%reportDelay.Milliseconds() == 0 {
			p.report()
		}
	}
}

// report delivers the load reports of all entries to all others, by a relay if there are
// many.
func (p *limitedPlay) report() {
	if len(p.pools) > 34 {
		p.relayReports()
		return
	}
	for i, from := range p.pools {
		loads := make(map[string]api.Load)
		for _, l := range from.Loads(nil, linked{}) {
			loads[l.Target] = l
		}
		for j, to := range p.pools {
			if i != j {
				to.SetRemoteLoads(p.entries[i].ID, loads)
			}
		}
	}
}

func (p *limitedPlay) relayReports() {
	total := make(map[string]api.Load)
	for _, pool := range p.pools {
		for _, l := range pool.Loads(nil, linked{}) {
			l.Limit = MergeLimits(total[l.Target], l)
			total[l.Target] = l
		}
	}
	for _, pool := range p.pools {
		pool.SetRemoteLoads("relay", total)
	}
}

// mostIn returns the most requests in any limitWindow from a time on.
func (p *limitedPlay) mostIn(from time.Time) int {
	most, first := 0, 0
	for i, at := range p.sent {
		for first <= i && (p.sent[first].Before(from) || at.Sub(p.sent[first]) >= limitWindow) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func allowed(rate float64) int { return int(1.5*rate*limitWindow.Seconds()) + 5 }

// ratesFor lists the limits to play; many entries take long.
func ratesFor(entries int) []float64 {
	if entries > 34 {
		return []float64{4.2}
	}
	return []float64{0, 0.1, 3.8, 4.2, 7.1, 40, 250}
}

func TestLimitHoldsOverAllEntries(t *testing.T) {
	for _, entries := range []int{1, 4, 34, 330} {
		for _, rate := range ratesFor(entries) {
			p := newLimitedPlay(t, entries)
			begin := p.clock.now
			p.run(14*time.Second, rate, true)
			require.LessOrEqual(t, p.mostIn(begin.Add(graceTime)), allowed(rate), "%d entries, limit %g", entries, rate)
			p.sent = nil
			p.run(limitWindow, rate, true)
			usable := min(max(1, int(rate*limitWindow.Seconds())), entries*mostPerEntry)
			require.GreaterOrEqual(t, len(p.sent), usable*9/10, "%d entries use limit %g", entries, rate)
		}
	}
}

func TestLimitEndsSoonAfterItIsNoLongerNamed(t *testing.T) {
	for _, entries := range []int{1, 4, 34} {
		p := newLimitedPlay(t, entries)
		p.run(10*time.Second, 2, true)
		p.run(limitLifetime+limitWindow, 2, false)
		p.sent = nil
		p.run(time.Second, 2, false)
		require.Greater(t, len(p.sent), 5*allowed(2), "%d entries", entries)
	}
}

// TestRestartedEntryObeysLimitAtOnce restarts one entry after the other.
func TestRestartedEntryObeysLimitAtOnce(t *testing.T) {
	p := newLimitedPlay(t, 4)
	p.run(10*time.Second, 4.2, true)
	begin := p.clock.now
	for i := range p.pools {
		p.report()
		p.restart(i)
		p.report()
		p.run(5*time.Second, 4.2, true)
	}
	require.LessOrEqual(t, p.mostIn(begin), allowed(4.2)+quota(16, 0, 4), "the restarted entry forgets only its own part")
}

// startAgain has the view name an incarnation of the server that started at a time.
func (p *limitedPlay) startAgain(at time.Time) {
	next := replica("a")
	next.Slots, next.Generation, next.Incarnation = 1000, 2, api.Incarnation(at.UnixMilli())
	p.replace(next)
}

func (p *limitedPlay) replace(next Target) {
	p.pools[0].Update([]Target{next}, nil, Entries{})
}

func TestLimitOfAnotherLifeDoesNotApply(t *testing.T) {
	p := newLimitedPlay(t, 1)
	p.run(5*time.Second, 0, true)
	p.startAgain(p.clock.now.Add(time.Minute))
	p.sent = nil
	p.run(100*time.Millisecond, 0, false)
	require.Greater(t, len(p.sent), allowed(0))
}

// TestLimitOutlastsLateView guards against requests beyond the limit of a server that started
// again under its id before it named the limit, while the view named its former life.
func TestLimitOutlastsLateView(t *testing.T) {
	for _, rate := range []float64{0, 4.2, 40} {
		p := newLimitedPlay(t, 1)
		began := p.clock.now
		p.run(10*time.Second, rate, true)
		p.startAgain(began.Add(-time.Minute))
		p.run(10*time.Second, rate, true)
		require.LessOrEqual(t, p.mostIn(began.Add(graceTime)), allowed(rate), "limit %g", rate)
	}
}

// TestLimitOutlastsGroup guards against requests beyond the limit of a server that heads another
// group than the one in which it named the limit.
func TestLimitOutlastsGroup(t *testing.T) {
	p := newLimitedPlay(t, 1)
	began := p.clock.now
	p.run(10*time.Second, 4.2, true)
	next := replica("another group")
	next.Slots, next.Instance = 1000, replica("a").Instance
	p.replace(next)
	p.run(10*time.Second, 4.2, true)
	require.LessOrEqual(t, p.mostIn(began.Add(graceTime)), allowed(4.2))
}

// TestLimitInAnswerToFormerTargetCounts has the view name another life while requests are under
// way: their answers say the same of a life that had begun.
func TestLimitInAnswerToFormerTargetCounts(t *testing.T) {
	for _, c := range []struct {
		started time.Duration
		named   bool
		limited bool
	}{{-time.Minute, true, true}, {time.Minute, true, false}, {-time.Minute, false, false}} {
		p := newLimitedPlay(t, 1)
		pool := p.pools[0]
		pl := place(t, pool, Demand{Deadline: p.clock.now.Add(time.Second)})
		p.startAgain(p.clock.now.Add(c.started))
		require.Equal(t, c.limited, pool.RecordLimit(pl, 0, c.named), "%+v", c)
		d := Demand{Deadline: p.clock.now.Add(time.Second)}
		pool.Release(place(t, pool, d))
		require.Equal(t, !c.limited, pool.HasOther(&d), "%+v", c)
	}
}

// TestLimitedServersMoveLoadToOthers has one server with a limit beside one without.
func TestLimitedServersMoveLoadToOthers(t *testing.T) {
	p, clock := enginePool("a", "b")
	d := clock.demand(100)
	d.Exclude = []string{"b"}
	limited := place(t, p, d)
	require.True(t, p.RecordLimit(limited, 0.1, true))
	require.False(t, p.RecordLimit(limited, 0.1, true), "named again")
	p.Release(limited)
	for range 4 {
		require.Equal(t, "b", place(t, p, clock.demand(100)).Target.ID)
	}
}

// TestRequestsBeyondAllLimitsAreRefusedAtOnce uses up the limit of the only server.
func TestRequestsBeyondAllLimitsAreRefusedAtOnce(t *testing.T) {
	p, clock := enginePool("a")
	first := place(t, p, clock.demand(100))
	p.RecordLimit(first, 0.25, true)
	p.Release(first)
	began := time.Now()
	_, err := p.Acquire(t.Context(), clock.demand(100))
	require.Equal(t, errs.Full, errs.CodeOf(err))
	require.Positive(t, errs.RetryAfterOf(err))
	require.Less(t, time.Since(began), time.Second)
}
