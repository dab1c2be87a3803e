package bench

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/caller"
	"github.com/crocusway/crocusway/internal/ctl"
	"github.com/crocusway/crocusway/internal/standin/network"
)

// Settings of partition.
const (
	partitionLoad = 0.4
	// The leader's host is cut off, then an entry, at these fractions of the
	// duration.
	leaderCutAt           = 0.1
	leaderHealAt          = 0.45
	entryCutAt            = 0.55
	entryHealAt           = 0.9
	partitionPollInterval = 10 * time.Millisecond
	// leaderBound and drainBound are in seconds.
	leaderBound = 3
	drainBound  = 5
)

// partition cuts the host of the control leader off from all others, heals the
// network, then cuts an entry off and drains a failure domain meanwhile, all
// under load. The daemons that are cut off and their callers keep running. The
// baseline has no daemons and is not run.
func partition() Experiment {
	return Experiment{
		Name:    "partition",
		Summary: "The leader's host and then an entry are cut off under load; a domain is drained during the second cut.",
		Run:     runPartition,
		Targets: []Target{
			{Figure: "wrong", Relation: "<=", Bound: 0},
			{Figure: "overloads", Relation: "<=", Bound: 0},
			{Figure: "without_leader", Relation: "<=", Bound: leaderBound},
			{Figure: "late_drained_runs", Relation: "<=", Bound: 0},
		},
	}
}

// partitionRun holds one run with its two cuts and the results.
type partitionRun struct {
	system  *pathSystem
	network *network.Network
	domain  api.FailureDomain
	// withoutLeader is the time from the first cut until another leader
	// answered, servedElsewhere that until another entry gave a complete
	// answer.
	withoutLeader   time.Duration
	servedElsewhere time.Duration
	inForce         time.Duration
	drainSent       time.Time
}

func runPartition(ctx context.Context, o Options, policy Policy, seed int64) ([]Figure, error) {
	if policy == PolicyBaseline {
		return nil, nil
	}
	spec := newPathSpec(o)
	spec.network = network.New()
	defer spec.network.Close()
	rig, err := startWarmRig(ctx, policy, spec)
	if err != nil {
		return nil, err
	}
	defer rig.close()
	before := len(rig.fleet.Runs())
	c := &partitionRun{system: rig.system, network: spec.network, domain: pathDomains[len(pathDomains)-1]}
	done := make(chan error, 1)
	go func() { done <- c.run(ctx, time.Now(), o.Duration) }()
	tally := newPathTally()
	offer(ctx, rig.target, pathStream{
		rate: spec.rate() * partitionLoad, end: o.Duration, next: prompts("counter", pathTokens), tally: tally,
	}, seed)
	if err = <-done; err != nil {
		return nil, err
	}
	count, _ := overloads(rig.fleet.Runs()[before:])
	figures := append(tally.endingFigures(""), tally.latencyFigures("")...)
	return append(figures,
		Figure{Name: "overloads", Unit: "requests", Value: float64(count)},
		Figure{Name: "without_leader", Unit: "s", Value: c.withoutLeader.Seconds()},
		Figure{Name: "served_elsewhere", Unit: "s", Value: c.servedElsewhere.Seconds()},
		Figure{Name: "drain_in_force", Unit: "s", Value: c.inForce.Seconds()},
		Figure{Name: "late_drained_runs", Unit: "requests", Value: float64(c.lateRuns())},
	), nil
}

func (c *partitionRun) run(ctx context.Context, began time.Time, d time.Duration) error {
	at := func(part float64) time.Time { return began.Add(time.Duration(part * float64(d))) }
	if !sleepUntil(ctx, at(leaderCutAt)) {
		return ctx.Err()
	}
	if err := c.cutLeader(ctx); err != nil {
		return err
	}
	if !sleepUntil(ctx, at(leaderHealAt)) {
		return ctx.Err()
	}
	c.network.Heal()
	if !sleepUntil(ctx, at(entryCutAt)) {
		return ctx.Err()
	}
	c.network.Isolate(c.system.system.Dump(lostEntry).Name)
	if err := c.drain(); err != nil {
		return err
	}
	if !sleepUntil(ctx, at(entryHealAt)) {
		return ctx.Err()
	}
	c.network.Heal()
	return nil
}

// cutLeader cuts the leader's host off and waits for another leader and for an
// answer through another entry.
func (c *partitionRun) cutLeader(ctx context.Context) error {
	status, err := c.system.system.Client.Status()
	if err != nil {
		return errors.Wrap(err, "find the leader")
	}
	leader := string(status.Leader)
	others := c.entriesWithout(leader)
	operators := ctl.NewClient(others, c.system.system.OperatorToken(), "bench")
	client := caller.Pinned("counter", others[0])
	c.network.Isolate(leader)
	cutAt := time.Now()
	served := make(chan struct{})
	go func() {
		defer close(served)
		c.servedElsewhere = c.awaitServed(ctx, client, cutAt)
	}()
	for {
		now, err := operators.Status()
		if err == nil && string(now.Leader) != leader {
			c.withoutLeader = time.Since(cutAt)
			break
		}
		if !sleepUntil(ctx, time.Now().Add(partitionPollInterval)) {
			return ctx.Err()
		}
	}
	<-served
	return nil
}

// awaitServed returns the time from the cut to the end of the first complete
// answer.
func (c *partitionRun) awaitServed(ctx context.Context, client *caller.Client, cutAt time.Time) time.Duration {
	for {
		a, err := client.Chat(ctx, pathModel, "served elsewhere", 1)
		if (err == nil && a.IsComplete()) || !sleepUntil(ctx, time.Now().Add(partitionPollInterval)) {
			return time.Since(cutAt)
		}
	}
}

// entriesWithout lists the addresses of all daemons but one.
func (c *partitionRun) entriesWithout(name string) []string {
	system := c.system.system
	var out []string
	for i, address := range system.Entries() {
		if i != system.Index(name) {
			out = append(out, address)
		}
	}
	return out
}

// drain drains the domain while the entry is cut off.
func (c *partitionRun) drain() error {
	system := c.system.system
	operators := ctl.NewClient(c.entriesWithout(system.Dump(lostEntry).Name), system.OperatorToken(), "bench")
	plan, err := operators.Plan(api.Intent{Domains: []api.Domain{{Name: c.domain, State: api.DomainDrained}}})
	if err != nil {
		return errors.Wrap(err, "plan the drain")
	}
	c.drainSent = time.Now()
	decision, err := operators.Decide(plan.ID, true, pathTimeout)
	if err == nil && !decision.InForce {
		err = errors.Newf("not yet in force at entries %v", decision.HeldOut)
	}
	c.inForce = time.Since(c.drainSent)
	return errors.Wrap(err, "confirm the drain")
}

// lateRuns counts the requests that reached the drained domain later than the
// bound after its confirmation was sent.
func (c *partitionRun) lateRuns() int {
	n := 0
	for _, run := range c.system.system.Fleet.Runs() {
		if c.system.system.Fleet.Host(run.Host).Domain() == c.domain && run.Start.After(c.drainSent.Add(drainBound*time.Second)) {
			n++
		}
	}
	return n
}
