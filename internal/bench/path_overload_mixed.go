package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

// mixedLengths are the lengths of the answers of overload-mixed, in tokens. The
// longest meets the timeout only if its wait is short.
var mixedLengths = []int{5, 20, 40, 100}

// overloadMixed offers answers of different lengths at 4 times the capacity.
func overloadMixed() Experiment {
	return Experiment{
		Name:    "overload-mixed",
		Summary: "Answers of different lengths at 4 times the capacity, for callers with short timeouts.",
		Run:     runOverloadMixed,
		Targets: []Target{
			{Figure: "wrong", Relation: "<=", Bound: 0},
			{Figure: "cut", Relation: "<=", Bound: 0},
		},
	}
}

func runOverloadMixed(ctx context.Context, o Options, policy Policy, seed int64) ([]Figure, error) {
	spec := newPathSpec(o)
	rig, err := startWarmRig(ctx, policy, spec)
	if err != nil {
		return nil, err
	}
	defer rig.close()
	sum := 0
	for _, n := range mixedLengths {
		sum += n
	}
	rate := overloadFactors[len(overloadFactors)-1] * spec.rate() * pathTokens / float64(sum)
	runsBefore, completed := len(rig.fleet.Runs()), rig.fleet.Completed()
	all := newPathTally()
	tallies := make([]*pathTally, 0, len(mixedLengths))
	streams := make([]pathStream, 0, len(mixedLengths))
	for _, n := range mixedLengths {
		tally := newPathTally()
		tallies = append(tallies, tally)
		streams = append(streams, pathStream{rate: rate, end: o.Duration, next: shortTimeoutPrompts(n), tally: tally})
	}
	began := time.Now()
	offerAll(ctx, rig.target, seed, streams...)
	tokens := 0.0
	var figures []Figure
	for i, n := range mixedLengths {
		tokens += float64(n) * tallies[i].goodput(o.Duration)
		all.merge(tallies[i])
		figures = append(figures, Figure{Name: fmt.Sprintf("tokens%d_complete", n), Unit: "ratio", Value: tallies[i].share(endComplete)})
	}
	wasted := len(rig.fleet.Runs()) - runsBefore - (rig.fleet.Completed() - completed)
	figures = append(figures, all.endingFigures("")...)
	return append(figures,
		Figure{Name: "token_goodput", Unit: "ratio", Value: tokens / (spec.rate() * pathTokens)},
		Figure{Name: "busy", Unit: "ratio", Value: busySlots(rig.fleet.Runs()[runsBefore:], began, o.Duration) / float64(spec.capacity())},
		Figure{Name: "wasted_runs", Unit: "requests", Value: float64(wasted)}), nil
}

// shortTimeoutPrompts builds requests for a number of tokens whose callers wait
// for overloadTimeout only.
func shortTimeoutPrompts(tokens int) func(r *rand.Rand) pathCall {
	next := prompts("counter", tokens)
	return func(r *rand.Rand) pathCall {
		c := next(r)
		c.callerTimeout = overloadTimeout
		return c
	}
}

// merge adds the endings of another tally, which must not be in use any more.
func (t *pathTally) merge(other *pathTally) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, n := range other.endings {
		t.endings[i] += n
	}
	t.onTime += other.onTime
}
