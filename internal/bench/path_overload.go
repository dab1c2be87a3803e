package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/crocusway/crocusway/internal/standin"
)

// overloadFactors are the loads of overload, as factors of the capacity.
var overloadFactors = []float64{1, 2, 4}

// overloadTimeout is how long a caller waits for the complete answer. The
// baseline then sends the request again.
const overloadTimeout = 2 * time.Second

// shortTimeoutPrompt builds requests whose callers wait for overloadTimeout
// only.
func shortTimeoutPrompt(r *rand.Rand) pathCall {
	c := prompts("counter", pathTokens)(r)
	c.callerTimeout = overloadTimeout
	return c
}

// overloadGoodput is the target for the part of the capacity that is still
// served at 4 times the capacity.
const overloadGoodput = 0.95

// overload offers increasing load, in equal parts of the duration.
func overload() Experiment {
	return Experiment{
		Attaches: true,
		Name:     "overload",
		Summary:  "Goodput, latency and refusals when callers with short timeouts offer 1, 2 and 4 times the capacity.",
		Run:      runOverload,
		Targets: []Target{
			{Figure: "x4_goodput", Relation: ">=", Bound: overloadGoodput},
			{Figure: "x4_wrong", Relation: "<=", Bound: 0},
			{Figure: "x4_cut", Relation: "<=", Bound: 0},
		},
	}
}

func runOverload(ctx context.Context, o Options, policy Policy, seed int64) ([]Figure, error) {
	spec := newPathSpec(o)
	rig, err := startWarmRig(ctx, policy, spec)
	if err != nil {
		return nil, err
	}
	defer rig.close()
	part := o.Duration / time.Duration(len(overloadFactors))
	var figures []Figure
	for i, factor := range overloadFactors {
		tally := newPathTally()
		runsBefore := len(rig.fleet.Runs())
		completed := rig.fleet.Completed()
		s := pathStream{rate: spec.rate() * factor, end: part, next: shortTimeoutPrompt, tally: tally}
		began := time.Now()
		offer(ctx, rig.target, s, seed+int64(i))
		prefix := fmt.Sprintf("x%g_", factor)
		figures = append(figures, tally.latencyFigures(prefix)...)
		figures = append(figures, tally.endingFigures(prefix)...)
		runs := rig.fleet.Runs()[runsBefore:]
		wasted := len(runs) - (rig.fleet.Completed() - completed)
		figures = append(figures,
			Figure{Name: prefix + "goodput", Unit: "ratio", Value: tally.goodput(part) / spec.rate()},
			Figure{Name: prefix + "run_time", Unit: "ms", Value: float64(meanRunTime(runs).Microseconds()) / 1000},
			Figure{Name: prefix + "goodput_of_measured", Unit: "ratio", Value: tally.goodput(part) * meanRunTime(runs).Seconds() / float64(spec.capacity())},
			Figure{Name: prefix + "busy", Unit: "ratio", Value: busySlots(runs, began, part) / float64(spec.capacity())},
			Figure{Name: prefix + "wasted_runs", Unit: "requests", Value: float64(wasted)})
	}
	return figures, nil
}

// meanRunTime returns the mean duration of the finished runs. The stand-ins'
// timers make it longer than the nominal time, from which the capacity is
// computed.
func meanRunTime(runs []standin.Run) time.Duration {
	var sum time.Duration
	n := 0
	for _, run := range runs {
		if !run.End.IsZero() {
			sum += run.End.Sub(run.Start)
			n++
		}
	}
	return sum / time.Duration(max(n, 1))
}

// busySlots returns the mean number of requests in progress over a window,
// counting only requests that finished, in the window or later.
func busySlots(runs []standin.Run, began time.Time, window time.Duration) float64 {
	var busy time.Duration
	end := began.Add(window)
	for _, run := range runs {
		if run.End.IsZero() || run.Start.After(end) {
			continue
		}
		until := run.End
		if until.After(end) {
			until = end
		}
		busy += until.Sub(run.Start)
	}
	return busy.Seconds() / window.Seconds()
}
