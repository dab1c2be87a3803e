package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/crocusway/crocusway/internal/standin"
)

// Settings of prefix.
const (
	prefixLoad = 0.5
	// Prompts share one of prefixCount prefixes of prefixBlocks blocks each. A
	// replica can cache about a third of them.
	prefixCount  = 60
	prefixBlocks = 16
	prefixCached = prefixCount * prefixBlocks / 3
)

// prefix offers requests that share long prefixes to replicas with small
// caches.
func prefix() Experiment {
	return Experiment{
		Attaches: true,
		Name:     "prefix",
		Summary:  "Hit ratio of the engines' prefix caches when requests share long prefixes.",
		Run:      runPrefix,
	}
}

func runPrefix(ctx context.Context, o Options, policy Policy, seed int64) ([]Figure, error) {
	spec := newPathSpec(o)
	spec.engine.CacheBlocks = prefixCached
	rig, err := startWarmRig(ctx, policy, spec)
	if err != nil {
		return nil, err
	}
	defer rig.close()
	before := len(rig.fleet.Runs())
	tally := newPathTally()
	offer(ctx, rig.target, pathStream{
		rate: spec.rate() * prefixLoad, end: o.Duration, next: sharedPrefix, tally: tally,
	}, seed)
	figures := []Figure{{Name: "hit_ratio", Unit: "ratio", Value: hitRatio(rig.fleet.Runs()[before:])}}
	figures = append(figures, tally.latencyFigures("")...)
	return append(figures, tally.endingFigures("")...), nil
}

// sharedPrefix builds a request with one of prefixCount prefixes.
func sharedPrefix(r *rand.Rand) pathCall {
	unit := fmt.Sprintf("rigging plan %02d ", r.IntN(prefixCount))
	text := strings.Repeat(unit, prefixBlocks*standin.BlockBytes/len(unit)+1)
	return pathCall{account: "counter", prompt: text + fmt.Sprint(r.Int64()), tokens: pathTokens}
}

// hitRatio returns the fraction of the prompt blocks that were cached, 0 to 1.
func hitRatio(runs []standin.Run) float64 {
	blocks, cached := 0, 0
	for _, run := range runs {
		blocks += run.Blocks
		cached += run.Cached
	}
	return float64(cached) / float64(max(blocks, 1))
}
