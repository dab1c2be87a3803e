package bench

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Settings of entry-loss.
const (
	entryLossLoad = 0.6
	// entryLossAt and entryBackAt are fractions of the duration.
	entryLossAt = 0.3
	entryBackAt = 0.7
	// lostEntry is the index of a daemon with the entry role only.
	lostEntry = pathDaemons - 1
	// lostOwner is the index of a daemon that owns a shard and is a voter of
	// control.
	lostOwner = 1
)

// entryLoss aborts an entry that owns shards and serves streams, and restarts
// it, under load. The entry shares the process of its callers, so that its open
// connections finish: it loses its lease, links, queues and grants, but cuts no
// stream. The baseline has no entry and is not run.
func entryLoss() Experiment {
	return Experiment{
		Name:    "entry-loss",
		Summary: "An entry loses its lease, links and queues under load and comes back; replicas must not be over-committed.",
		Run:     lossOf(lostEntry),
		Targets: entryLossTargets(),
	}
}

// ownerLoss is entry-loss for an entry that owns a shard.
func ownerLoss() Experiment {
	return Experiment{
		Name:    "owner-loss",
		Summary: "The owner of a shard, which is a voter too, loses its lease, links and queues under load and comes back.",
		Run:     lossOf(lostOwner),
		Targets: entryLossTargets(),
	}
}

func entryLossTargets() []Target {
	return []Target{
		{Figure: "overloads", Relation: "<=", Bound: 0},
		{Figure: "wrong", Relation: "<=", Bound: 0},
		{Figure: "first_token_p95", Relation: "<=", Bound: firstTokenBound},
	}
}

// lossOf returns a run in which one daemon fails and returns.
func lossOf(daemon int) func(context.Context, Options, Policy, int64) ([]Figure, error) {
	return func(ctx context.Context, o Options, policy Policy, seed int64) ([]Figure, error) {
		return runEntryLoss(ctx, o, policy, seed, daemon)
	}
}

func runEntryLoss(ctx context.Context, o Options, policy Policy, seed int64, daemon int) ([]Figure, error) {
	if policy == PolicyBaseline {
		return nil, nil
	}
	spec := newPathSpec(o)
	rig, err := startWarmRig(ctx, policy, spec)
	if err != nil {
		return nil, err
	}
	defer rig.close()
	before := len(rig.fleet.Runs())
	done := make(chan error, 1)
	go func() { done <- crashEntry(ctx, rig, o.Duration, daemon) }()
	tally := newPathTally()
	offer(ctx, rig.target, pathStream{
		rate: spec.rate() * entryLossLoad, end: o.Duration, next: prompts("counter", pathTokens), tally: tally,
	}, seed)
	if err = <-done; err != nil {
		return nil, err
	}
	count, excess := overloads(rig.fleet.Runs()[before:])
	figures := []Figure{
		{Name: "overloads", Unit: "requests", Value: float64(count)},
		{Name: "largest_excess", Unit: "requests", Value: float64(excess)},
	}
	figures = append(figures, tally.endingFigures("")...)
	return append(figures, tally.latencyFigures("")...), nil
}

// crashEntry aborts a daemon without a graceful shutdown and restarts it.
func crashEntry(ctx context.Context, rig *pathRig, d time.Duration, daemon int) error {
	began := time.Now()
	at := func(part float64) time.Time { return began.Add(time.Duration(part * float64(d))) }
	if !sleepUntil(ctx, at(entryLossAt)) {
		return ctx.Err()
	}
	rig.system.system.Abort(daemon)
	if !sleepUntil(ctx, at(entryBackAt)) {
		return ctx.Err()
	}
	return errors.Wrap(rig.system.system.Restart(daemon), "restart the entry")
}
