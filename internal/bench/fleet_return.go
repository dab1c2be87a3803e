package bench

import (
	"context"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// Settings of the domain-return experiment.
const (
	returnSpan = 90 * time.Minute
	// returnAfter is how long the domain stays drained.
	returnAfter = 10 * time.Minute
	returnDrain = api.FailureDomain("domain-0")
)

// DomainReturn measures the time and the loads that it takes to spread replicas
// again after a failure domain was drained and restored, with and without
// rebalancing.
func DomainReturn() Experiment {
	return Experiment{
		Name:    "domain-return",
		Summary: "A failure domain is drained and restored; replicas spread again, or stay.",
		Run: func(ctx context.Context, o Options, policy Policy, seed int64) ([]Figure, error) {
			var out []Figure
			for _, rebalance := range []bool{false, true} {
				figures, err := runReturn(ctx, o, policy, rebalance, seed)
				if err != nil {
					return nil, err
				}
				out = append(out, figures...)
			}
			return out, nil
		},
	}
}

// returnRun measures from the restore on.
type returnRun struct {
	*fleetRun
	restored bool
	// uneven is the time with an uneven spread, in seconds.
	uneven   float64
	downtime float64
	loads    int
}

func runReturn(ctx context.Context, o Options, policy Policy, rebalance bool, seed int64) ([]Figure, error) {
	p := presetPolicy(o.Preset)
	p.Rebalance = rebalance
	r, err := newFleetRun(o, policy, fleetLayout{headroom: weightsHeadroom}, p, seed)
	if err != nil {
		return nil, err
	}
	run := &returnRun{fleetRun: r}
	r.schedule(0, func(*FleetModel) { run.setDomain(api.DomainDrained) })
	r.schedule(returnAfter, func(*FleetModel) { run.restore() })
	r.onMeasure = run.count
	if err := r.run(ctx, returnSpan); err != nil {
		return nil, err
	}
	label := ", rebalance off"
	if rebalance {
		label = ", rebalance on"
	}
	return []Figure{
		{Name: "time until the spread is even" + label, Unit: "seconds", Value: run.uneven},
		{Name: FigureDowntime + " after the restore" + label, Unit: "replica-seconds", Value: run.downtime},
		{Name: FigureLoads + " after the restore" + label, Unit: "host loads", Value: float64(r.model.Loads - run.loads)},
	}, nil
}

func (r *returnRun) setDomain(state api.DomainState) {
	r.store.Domains = []api.Domain{{Name: returnDrain, State: state}}
	r.store.Revision++
}

func (r *returnRun) restore() {
	r.setDomain(api.DomainActive)
	r.restored = true
	r.loads = r.model.Loads
}

func (r *returnRun) count(d time.Duration) {
	if !r.restored {
		return
	}
	r.downtime += float64(r.missing()) * d.Seconds()
	if !r.even() {
		r.uneven += d.Seconds()
	}
}

// even reports whether the replicas of each serving group differ by at most one
// between failure domains.
func (r *returnRun) even() bool {
	domains := make(map[api.FailureDomain]bool, fleetDomains)
	for _, h := range r.model.Hosts {
		domains[h.Domain] = true
	}
	for _, sg := range r.store.ServingGroups {
		least, most := sg.Replicas, 0
		for d := range domains {
			n := r.serving(sg.Name, d)
			least, most = min(least, n), max(most, n)
		}
		if most-least > 1 {
			return false
		}
	}
	return true
}

func (r *returnRun) serving(sg api.ServingGroupName, d api.FailureDomain) int {
	n := 0
	for _, g := range r.store.groups {
		if g.ServingGroup == sg && g.Domain == d && g.Phase == api.GroupReady && r.serves(g) {
			n++
		}
	}
	return n
}
