package bench

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// Settings of poison.
const (
	poisonPrompt = "tin with the crashing glyph"
	// poisonLoad is the load of innocent requests, as a fraction of the
	// capacity.
	poisonLoad = 0.4
	// poisonSends is how often the caller of the crashing request sends it.
	poisonSends    = 12
	poisonInterval = 500 * time.Millisecond
	// poisonAllowed is the number of replicas that a request may crash: it is
	// quarantined after the second crash.
	poisonAllowed = 2
)

// poison repeatedly sends a request that crashes each replica that runs it,
// beside innocent load.
func poison() Experiment {
	return Experiment{
		Attaches: true,
		Name:     "poison",
		Summary:  "A request crashes each replica that runs it, and its caller sends it again.",
		Run:      runPoison,
		Targets: []Target{
			{Figure: "replicas_lost", Relation: "<=", Bound: poisonAllowed},
			{Figure: "innocent_quarantined", Relation: "<=", Bound: 0},
			{Figure: "innocent_wrong", Relation: "<=", Bound: 0},
		},
	}
}

func runPoison(ctx context.Context, o Options, policy Policy, seed int64) ([]Figure, error) {
	spec := newPathSpec(o)
	rig, err := startWarmRig(ctx, policy, spec)
	if err != nil {
		return nil, err
	}
	defer rig.close()
	rig.fleet.CrashOn(poisonPrompt)
	innocent, bad := newPathTally(), newPathTally()
	var wg sync.WaitGroup
	wg.Go(func() { sendPoison(ctx, rig.target, bad, o.Duration) })
	offer(ctx, rig.target, pathStream{
		rate: spec.rate() * poisonLoad, end: o.Duration, next: prompts("counter", pathTokens), tally: innocent,
	}, seed)
	wg.Wait()
	figures := []Figure{
		{Name: "replicas_lost", Unit: "replicas", Value: float64(rig.fleet.Crashes())},
		{Name: "poison_sent", Unit: "requests", Value: float64(bad.offered())},
		{Name: "innocent_quarantined", Unit: "requests", Value: float64(innocent.withStatus(http.StatusUnprocessableEntity))},
	}
	figures = append(figures, innocent.endingFigures("innocent_")...)
	return append(figures, innocent.latencyFigures("innocent_")...), nil
}

// sendPoison sends the crashing request with a pause between two sends.
func sendPoison(ctx context.Context, target pathTarget, tally *pathTally, d time.Duration) {
	began := time.Now()
	for range poisonSends {
		if time.Since(began) > d || !sleepUntil(ctx, time.Now().Add(poisonInterval)) {
			return
		}
		tally.add(target.call(ctx, pathCall{account: "counter", prompt: poisonPrompt, tokens: pathTokens}), true)
	}
}
