package bench

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/standin"
)

// Settings of domain-cycle.
const (
	// cycleLoad is the load, as a fraction of the capacity of two of three
	// domains.
	cycleLoad = 0.6
	// drainAt and restoreAt are fractions of the duration.
	drainAt   = 0.25
	restoreAt = 0.6
	// hostsStopAfter is the time from the drain to the stop of the domain's
	// hosts, which the operators allow for work in progress.
	hostsStopAfter = 3 * time.Second
	// cycleGoodput is the minimum fraction of requests to be answered
	// completely and on time; the remaining capacity suffices for all of them.
	cycleGoodput = 0.99
)

// domainCycle drains and restores a failure domain under load. The hosts of the
// domain are stopped soon after the drain and started before the restore.
func domainCycle() Experiment {
	return Experiment{
		Attaches: true,
		Name:     "domain-cycle",
		Summary:  "A failure domain is drained, its hosts are stopped, and it returns, under load.",
		Run:      runDomainCycle,
		Targets: []Target{
			{Figure: "cut", Relation: "<=", Bound: 0},
			{Figure: "failed", Relation: "<=", Bound: 0},
			{Figure: "wrong", Relation: "<=", Bound: 0},
			{Figure: "drained_runs", Relation: "<=", Bound: 0},
			{Figure: "first_token_p95", Relation: "<=", Bound: firstTokenBound},
			{Figure: "goodput_while_changing", Relation: ">=", Bound: cycleGoodput},
		},
	}
}

// drainCycle is one drain and restore of a failure domain.
type drainCycle struct {
	rig    *pathRig
	domain api.FailureDomain
	// drained is when the drain came into force.
	drained  time.Time
	restored time.Time
	inForce  time.Duration
	ready    time.Duration
	err      error
	// changing is set from the drain until every replica serves again.
	changing atomic.Bool
}

// changingTarget counts the requests that arrive while the domain changes in a
// tally of their own.
type changingTarget struct {
	pathTarget
	cycle *drainCycle
	tally *pathTally
}

// call implements pathTarget.
func (t *changingTarget) call(ctx context.Context, c pathCall) pathResult {
	changing := t.cycle.changing.Load()
	r := t.pathTarget.call(ctx, c)
	if changing {
		t.tally.add(r, true)
	}
	return r
}

func runDomainCycle(ctx context.Context, o Options, policy Policy, seed int64) ([]Figure, error) {
	spec := newPathSpec(o)
	rig, err := startWarmRig(ctx, policy, spec)
	if err != nil {
		return nil, err
	}
	defer rig.close()
	c := &drainCycle{rig: rig, domain: pathDomains[len(pathDomains)-1]}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.err = c.run(ctx, time.Now(), o.Duration, spec)
	}()
	tally := newPathTally()
	target := &changingTarget{pathTarget: rig.target, cycle: c, tally: newPathTally()}
	rate := spec.rate() * cycleLoad * float64(len(pathDomains)-1) / float64(len(pathDomains))
	offer(ctx, target, pathStream{rate: rate, end: o.Duration, next: prompts("counter", pathTokens), tally: tally}, seed)
	<-done
	if c.err != nil {
		return nil, c.err
	}
	figures := append(tally.endingFigures(""), tally.latencyFigures("")...)
	return append(figures,
		Figure{Name: "goodput_while_changing", Unit: "ratio", Value: target.tally.onTimeShare()},
		Figure{Name: "offered_while_changing", Unit: "requests", Value: float64(target.tally.offered())},
		Figure{Name: "drained_runs", Unit: "requests", Value: float64(c.runsWhileDrained())},
		Figure{Name: "drain_in_force", Unit: "s", Value: c.inForce.Seconds()},
		Figure{Name: "restored_ready", Unit: "s", Value: c.ready.Seconds()},
	), nil
}

func (c *drainCycle) run(ctx context.Context, began time.Time, d time.Duration, spec pathSpec) error {
	at := func(part float64) time.Time { return began.Add(time.Duration(part * float64(d))) }
	sleepUntil(ctx, at(drainAt))
	c.changing.Store(true)
	if err := c.setDomain(ctx, api.DomainDrained); err != nil {
		return err
	}
	c.drained = time.Now()
	c.inForce = time.Since(at(drainAt))
	sleepUntil(ctx, c.drained.Add(hostsStopAfter))
	hosts := c.rig.fleet.InDomain(c.domain)
	for _, h := range hosts {
		h.Kill()
	}
	sleepUntil(ctx, at(restoreAt))
	c.restored = time.Now()
	if err := restart(hosts); err != nil {
		return err
	}
	if err := c.setDomain(ctx, api.DomainActive); err != nil {
		return err
	}
	err := c.awaitReady(ctx, spec)
	c.changing.Store(false)
	return err
}

func restart(hosts []*standin.Host) error {
	for _, h := range hosts {
		if err := h.Restart(); err != nil {
			return errors.Wrap(err, "restart the domain")
		}
	}
	return nil
}

// setDomain sets the domain's state in the system; the baseline has no such
// state.
func (c *drainCycle) setDomain(ctx context.Context, state api.DomainState) error {
	if c.rig.system == nil {
		return nil
	}
	intent := api.Intent{Domains: []api.Domain{{Name: c.domain, State: state}}}
	_, decision, err := c.rig.system.system.Confirm(ctx, intent)
	if err == nil && !decision.InForce {
		err = errors.Newf("state %s is not yet in force at entries %v", state, decision.HeldOut)
	}
	return errors.Wrapf(err, "set domain %s", state)
}

// awaitReady waits until every replica serves again.
func (c *drainCycle) awaitReady(ctx context.Context, spec pathSpec) error {
	const pollInterval = 20 * time.Millisecond
	for c.serving() < spec.replicas {
		if time.Since(c.restored) > pathStartTimeout || !sleepUntil(ctx, time.Now().Add(pollInterval)) {
			return errors.Newf("%d of %d replicas serve after the restore", c.serving(), spec.replicas)
		}
	}
	c.ready = time.Since(c.restored)
	return nil
}

func (c *drainCycle) serving() int {
	n := 0
	for _, h := range c.rig.fleet.Hosts() {
		if h.Serving() {
			n++
		}
	}
	return n
}

// runsWhileDrained counts the requests that reached the domain while its drain
// was in force.
func (c *drainCycle) runsWhileDrained() int {
	n := 0
	for _, run := range c.rig.fleet.Runs() {
		host := c.rig.fleet.Host(run.Host)
		if host.Domain() == c.domain && run.Start.After(c.drained) && run.Start.Before(c.restored) {
			n++
		}
	}
	return n
}
