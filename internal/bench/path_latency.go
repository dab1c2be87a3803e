package bench

import (
	"context"

	"github.com/crocusway/crocusway/internal/caller"
)

// Latency targets for the 95th percentile, in milliseconds.
const (
	firstTokenBound = 510
	tokenGapBound   = 30
)

// negligibleBatch keeps the time of a token independent of the batch.
const negligibleBatch = 1e-9

// latencyRate is the rate of each stream of path-latency, in requests a second.
const latencyRate = 20

// pathLatency compares requests through an entry with requests sent directly to
// the stand-ins, in one run and with the same client library.
func pathLatency() Experiment {
	return Experiment{
		Attaches: true,
		Name:     "path-latency",
		Summary:  "Latency that an entry adds to a request and to a token, against the stand-in called directly.",
		Run:      runPathLatency,
		Targets: []Target{
			{Figure: "entry_first_token_p95", Relation: "<=", Bound: firstTokenBound},
			{Figure: "entry_token_gap_p95", Relation: "<=", Bound: tokenGapBound},
		},
	}
}

// runPathLatency has no baseline policy: the direct calls are its baseline.
func runPathLatency(ctx context.Context, o Options, policy Policy, seed int64) ([]Figure, error) {
	if policy == PolicyBaseline {
		return nil, nil
	}
	spec := newPathSpec(o)
	// The two paths spread requests differently, which must not show as latency.
	spec.engine.BatchFactor = negligibleBatch
	rig, err := startWarmRig(ctx, policy, spec)
	if err != nil {
		return nil, err
	}
	defer rig.close()
	direct := newDirectTarget(rig)
	entryTally, directTally := newPathTally(), newPathTally()
	stream := func(t *pathTally) pathStream {
		return pathStream{rate: latencyRate, end: o.Duration, next: prompts("counter", pathTokens), tally: t}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		offer(ctx, direct, stream(directTally), seed+1)
	}()
	offer(ctx, rig.target, stream(entryTally), seed)
	<-done
	return latencyFigures(entryTally, directTally), nil
}

func latencyFigures(entry, direct *pathTally) []Figure {
	figures := append(direct.latencyFigures("direct_"), entry.latencyFigures("entry_")...)
	for i, name := range []string{"added_first_token_p50", "added_first_token_p95", "added_first_token_p99", "added_token_gap_p95"} {
		figures = append(figures, Figure{Name: name, Unit: "ms", Value: figures[i+4].Value - figures[i].Value})
	}
	figures = append(figures, gapFigures(entry, direct)...)
	return append(figures, entry.endingFigures("entry_")...)
}

func gapFigures(entry, direct *pathTally) []Figure {
	quantiles := []struct {
		name  string
		value float64
	}{{"p50", 50}, {"p99", 99}}
	out := make([]Figure, 0, 3*len(quantiles))
	for _, q := range quantiles {
		d, e := millis(direct.gaps, q.value), millis(entry.gaps, q.value)
		out = append(out,
			Figure{Name: "direct_token_gap_" + q.name, Unit: "ms", Value: d},
			Figure{Name: "entry_token_gap_" + q.name, Unit: "ms", Value: e},
			Figure{Name: "added_token_gap_" + q.name, Unit: "ms", Value: e - d})
	}
	return out
}

// directTarget calls the replicas of a system directly, in turn.
type directTarget struct{ baseline }

func newDirectTarget(rig *pathRig) *directTarget {
	d := &directTarget{baseline{fleet: rig.fleet, model: pathModel}}
	for _, h := range rig.fleet.Hosts() {
		if h.Serving() {
			d.clients = append(d.clients, caller.Pinned(rig.fleet.Token(), h.Address()))
		}
	}
	return d
}
