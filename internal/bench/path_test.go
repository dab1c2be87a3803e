package bench

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/caller"
	"github.com/crocusway/crocusway/internal/standin"
)

func TestClassifyAnswer(t *testing.T) {
	own := []string{standin.TokenText("r1", 1), standin.TokenText("r1", 2)}
	repeated := []string{own[0], own[1], own[1]}
	cases := map[string]struct {
		answer   caller.Answer
		err      error
		complete bool
		want     pathEnding
	}{
		"whole":          {caller.Answer{Status: 200, Request: "r1", Tokens: own}, nil, true, endComplete},
		"of another":     {caller.Answer{Status: 200, Request: "r2", Tokens: own}, nil, true, endWrong},
		"token missing":  {caller.Answer{Status: 200, Request: "r1", Tokens: own[:1]}, nil, true, endWrong},
		"token repeated": {caller.Answer{Status: 200, Request: "r1", Tokens: repeated}, nil, true, endWrong},
		"refused":        {caller.Answer{Status: 503, Outcome: api.OutcomeNotRun}, nil, false, endRefused},
		"cut":            {caller.Answer{Status: 200, Request: "r1", Tokens: own}, nil, false, endCut},
		"broken":         {caller.Answer{Status: 200, Request: "r1", Tokens: own}, errors.New("reset"), false, endCut},
		"impatient":      {caller.Answer{Status: 200, Request: "r1", Tokens: own}, context.DeadlineExceeded, false, endGaveUp},
		"failed":         {caller.Answer{Status: 502, Outcome: api.OutcomeUnknown}, nil, false, endFailed},
		"no answer":      {caller.Answer{}, errors.New("reset"), false, endFailed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, classifyAnswer(c.answer, c.err, 2, c.complete))
		})
	}
}

// barrierTarget answers no request before the last one has arrived.
type barrierTarget struct {
	mu      sync.Mutex
	arrived int
	want    int
	all     chan struct{}
}

func (s *barrierTarget) call(context.Context, pathCall) pathResult {
	s.mu.Lock()
	s.arrived++
	if s.arrived == s.want {
		close(s.all)
	}
	s.mu.Unlock()
	<-s.all
	return pathResult{ending: endComplete, firstToken: time.Millisecond, status: 200}
}

// TestArrivalsDoNotWaitForAnswers checks that the load is an open loop: a
// closed loop would wait forever.
func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	const seed = 7
	s := pathStream{rate: 1000, end: 50 * time.Millisecond, next: prompts("a", 1), tally: newPathTally()}
	target := &barrierTarget{want: countArrivals(s, seed), all: make(chan struct{})}
	offer(t.Context(), target, s, seed)
	require.Equal(t, target.want, s.tally.offered())
	require.Equal(t, target.want, s.tally.count(endComplete))
	require.InDelta(t, 1, s.tally.share(endComplete), 0)
}

// countArrivals returns the number of requests that offer sends with a seed.
func countArrivals(s pathStream, seed int64) int {
	rng := rand.New(rand.NewPCG(uint64(seed), uint64(s.rate*1000)))
	n := 0
	for at := s.start; ; n++ {
		at += time.Duration(rng.ExpFloat64() / s.rate * float64(time.Second))
		if at >= s.end {
			return n
		}
		s.next(rng)
	}
}

func TestTallyCountsOnTimeAnswers(t *testing.T) {
	tally := newPathTally()
	tally.add(pathResult{ending: endComplete, firstToken: firstTokenBound * time.Millisecond}, true)
	tally.add(pathResult{ending: endComplete, firstToken: time.Second}, false)
	tally.add(pathResult{ending: endCut, firstToken: time.Millisecond}, true)
	tally.add(pathResult{ending: endRefused, status: 503}, true)
	require.InDelta(t, 0.25, tally.onTimeShare(), 0)
	require.InDelta(t, 1, tally.goodput(time.Second), 0)
	require.Equal(t, 1, tally.withStatus(503))
}

func TestPlacementUsesEachHostOnce(t *testing.T) {
	for _, preset := range []Preset{PresetNilecraft, PresetTabrak} {
		spec := newPathSpec(Options{Preset: preset})
		cfg := spec.fleet()
		cfg.Domains = pathDomains
		fleet, err := standin.Start(cfg)
		require.NoError(t, err)
		defer fleet.Close()
		seen := map[api.HostID]bool{}
		for _, hosts := range spec.placement(fleet) {
			require.Len(t, hosts, spec.hostsPerReplica)
			for _, h := range hosts {
				require.False(t, seen[h.ID()])
				require.Equal(t, hosts[0].Fabric(), h.Fabric())
				seen[h.ID()] = true
			}
		}
		require.Len(t, seen, spec.replicas*spec.hostsPerReplica)
	}
}

// TestBaselineServes checks that the baseline serves requests and retries one
// that fails.
func TestBaselineServes(t *testing.T) {
	spec := newPathSpec(Options{Preset: PresetNilecraft})
	spec.engine.TokenTime, spec.engine.FirstToken = time.Microsecond, time.Microsecond
	b, err := startBaseline(spec)
	require.NoError(t, err)
	defer b.close()
	require.Eventually(t, func() bool {
		return b.call(t.Context(), pathCall{prompt: "hello", tokens: 3}).ending == endComplete
	}, 10*time.Second, 10*time.Millisecond)
	before := len(b.fleet.Runs())
	b.fleet.CrashOn("crash")
	require.Equal(t, endFailed, b.call(t.Context(), pathCall{prompt: "crash", tokens: 3}).ending)
	require.Greater(t, len(b.fleet.Runs()), before)
	require.Positive(t, b.fleet.Falls())
}

func TestRunsAreSplitAndCounted(t *testing.T) {
	start := time.Unix(100, 0)
	runs := []standin.Run{
		{Start: start, Concurrent: 1, Capacity: 1},
		{Start: start.Add(time.Second), Concurrent: 3, Capacity: 1},
		{Start: start.Add(2 * time.Second), Concurrent: 2, Capacity: 4},
	}
	before, after := splitRuns(runs, start.Add(time.Second))
	require.Len(t, before, 2)
	require.Len(t, after, 1)
	count, excess := overloads(runs)
	require.Equal(t, 1, count)
	require.Equal(t, 2, excess)
}

// TestRequestsDuringChangeAreCountedSeparately sends one request before the
// change and two during it.
func TestRequestsDuringChangeAreCountedSeparately(t *testing.T) {
	c := &drainCycle{}
	inner := &barrierTarget{want: 1, all: make(chan struct{})}
	target := &changingTarget{pathTarget: inner, cycle: c, tally: newPathTally()}
	target.call(t.Context(), pathCall{})
	require.Zero(t, target.tally.offered())
	c.changing.Store(true)
	inner.want = -1
	target.call(t.Context(), pathCall{})
	target.call(t.Context(), pathCall{})
	require.Equal(t, 2, target.tally.offered())
	require.InDelta(t, 1, target.tally.onTimeShare(), 0)
}
