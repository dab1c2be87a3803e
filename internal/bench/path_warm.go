package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/standin"
)

// pathRig is a target with its backend servers.
type pathRig struct {
	target pathTarget
	fleet  *standin.Fleet
	close  func()
	// system is nil for the baseline.
	system *pathSystem
}

// startRig starts the system or the baseline.
func startRig(ctx context.Context, policy Policy, spec pathSpec) (*pathRig, error) {
	if policy == PolicyBaseline {
		b, err := startBaseline(spec)
		if err != nil {
			return nil, err
		}
		return &pathRig{target: b, fleet: b.fleet, close: b.close}, nil
	}
	p, err := startPathSystem(ctx, spec)
	if err != nil {
		return nil, err
	}
	return &pathRig{target: p, fleet: p.system.Fleet, close: p.close, system: p}, nil
}

// startWarmRig starts a rig and serves light load until every replica is warm.
func startWarmRig(ctx context.Context, policy Policy, spec pathSpec) (*pathRig, error) {
	rig, err := startRig(ctx, policy, spec)
	if err != nil {
		return nil, err
	}
	if err = rig.warmUp(ctx, spec); err != nil {
		rig.close()
		return nil, err
	}
	return rig, nil
}

// warmUp sends a few requests at a time until every serving host is warm.
func (r *pathRig) warmUp(ctx context.Context, spec pathSpec) error {
	ctx, cancel := context.WithTimeout(ctx, pathStartTimeout)
	defer cancel()
	account := string(spec.accounts[0].ID)
	var wg sync.WaitGroup
	for i := range spec.replicas {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil && r.fleet.WarmReplicas() < spec.replicas; n++ {
				prompt := fmt.Sprintf("warm up %d of %d", n, i)
				r.target.call(ctx, pathCall{account: account, prompt: prompt, tokens: 2})
			}
		})
	}
	wg.Wait()
	if r.fleet.WarmReplicas() < spec.replicas {
		return errors.Newf("%d of %d replicas are warm after %s", r.fleet.WarmReplicas(), spec.replicas, pathStartTimeout)
	}
	// The newest announcements reach the owners of the shards meanwhile.
	sleepUntil(ctx, time.Now().Add(propagationTime))
	return nil
}

// propagationTime is long enough for a change to reach every daemon.
const propagationTime = 2 * time.Second

// prompts returns a builder of requests of one account, with prompts that share
// prefixes of several blocks.
func prompts(account string, tokens int) func(r *rand.Rand) pathCall {
	return func(r *rand.Rand) pathCall {
		return pathCall{
			account: account,
			prompt:  fmt.Sprintf("order history of tin %04d, request %d", r.IntN(pathPromptVariety), r.Int64()),
			tokens:  tokens,
		}
	}
}

// overloads returns the number of runs above the capacity of their host and the
// largest excess, in requests.
func overloads(runs []standin.Run) (count, excess int) {
	for _, run := range runs {
		if run.Concurrent > run.Capacity {
			count++
			excess = max(excess, run.Concurrent-run.Capacity)
		}
	}
	return count, excess
}
