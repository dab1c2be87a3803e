package bench

import (
	"context"
	"time"

	"github.com/crocusway/crocusway/internal/standin"
)

// Settings of cold-start.
const (
	// coldLoadShare is the load, as a fraction of the capacity of warm
	// replicas.
	coldLoadShare = 0.3
	// coldLoadLimit is the number of requests that a cold replica can run at
	// once, coldWarmAfter that of completed requests that end a cold start.
	coldLoadLimit = 1
	coldWarmAfter = 4
	// turnColdAt is when a third of the replicas turn cold, as a fraction of
	// the duration.
	turnColdAt = 0.6
)

// coldStart immediately offers load to replicas that have just loaded, and
// later turns a third of them cold without warning.
func coldStart() Experiment {
	return Experiment{
		Attaches: true,
		Name:     "cold-start",
		Summary:  "Load reaches cold replicas, which crash above their cold capacity.",
		Run:      runColdStart,
		Targets: []Target{
			{Figure: "start_overloads", Relation: "<=", Bound: 0},
			{Figure: "start_falls", Relation: "<=", Bound: 0},
			{Figure: "wrong", Relation: "<=", Bound: 0},
		},
	}
}

func runColdStart(ctx context.Context, o Options, policy Policy, seed int64) ([]Figure, error) {
	spec := newPathSpec(o)
	spec.engine.ColdLoad = coldLoadLimit
	spec.engine.WarmAfter = coldWarmAfter
	rig, err := startRig(ctx, policy, spec)
	if err != nil {
		return nil, err
	}
	defer rig.close()
	began := time.Now()
	turn := began.Add(time.Duration(turnColdAt * float64(o.Duration)))
	watch := watchWarm(ctx, rig.fleet, began, turn, spec.replicas)
	startCrashes := make(chan int, 1)
	go func() {
		sleepUntil(ctx, turn)
		startCrashes <- rig.fleet.Crashes()
		turnCold(rig.fleet, spec.replicas/3)
	}()
	tally := newPathTally()
	offer(ctx, rig.target, pathStream{
		rate: spec.rate() * coldLoadShare, end: o.Duration, next: prompts("counter", pathTokens), tally: tally,
	}, seed)
	before, after := splitRuns(rig.fleet.Runs(), turn)
	startOver, _ := overloads(before)
	turnOver, _ := overloads(after)
	crashes := <-startCrashes
	figures := []Figure{
		{Name: "start_overloads", Unit: "requests", Value: float64(startOver)},
		{Name: "start_falls", Unit: "replicas", Value: float64(crashes)},
		{Name: "time_until_all_warm", Unit: "s", Value: (<-watch).Seconds()},
		{Name: "turn_overloads", Unit: "requests", Value: float64(turnOver)},
		{Name: "turn_falls", Unit: "replicas", Value: float64(rig.fleet.Crashes() - crashes)},
	}
	figures = append(figures, tally.latencyFigures("")...)
	return append(figures, tally.endingFigures("")...), nil
}

// watchWarm sends the time until all replicas were warm, or until the watch
// ended.
func watchWarm(ctx context.Context, f *standin.Fleet, began, end time.Time, replicas int) <-chan time.Duration {
	const pollInterval = 10 * time.Millisecond
	out := make(chan time.Duration, 1)
	go func() {
		for time.Now().Before(end) && f.WarmReplicas() < replicas {
			if !sleepUntil(ctx, time.Now().Add(pollInterval)) {
				break
			}
		}
		out <- time.Since(began)
	}()
	return out
}

// turnCold turns n serving replicas cold.
func turnCold(f *standin.Fleet, n int) {
	for _, h := range f.Hosts() {
		if n > 0 && h.Serving() {
			h.TurnCold()
			n--
		}
	}
}

// splitRuns splits the runs, which are in the order of their start, at a
// moment.
func splitRuns(runs []standin.Run, at time.Time) (before, after []standin.Run) {
	for i, run := range runs {
		if run.Start.After(at) {
			return runs[:i], runs[i:]
		}
	}
	return runs, nil
}
