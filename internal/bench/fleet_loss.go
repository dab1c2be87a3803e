package bench

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// Faults of the loss experiments, in logical time.
const (
	memberSpan = 8 * time.Hour
	fabricSpan = 3 * time.Hour
	// lossTail is the time without new faults at the end of a run.
	lossTail        = 20 * time.Minute
	memberLosses    = 10
	memberPauses    = 24
	minOutage       = 15 * time.Minute
	maxOutage       = 45 * time.Minute
	minPause        = 2 * time.Second
	maxPause        = 12 * time.Second
	secondLossAfter = 120 * time.Second
	fabricLosses    = 3
	minFabricOutage = 10 * time.Minute
	maxFabricOutage = 30 * time.Minute
)

// halfOfBaseline returns the targets of the loss experiments.
func halfOfBaseline() []Target {
	return []Target{
		{Figure: FigureDowntime, Relation: "<=", Bound: 0.5, OfBaseline: true},
		{Figure: FigureStranded, Relation: "<=", Bound: 0.5, OfBaseline: true},
	}
}

// MemberLoss measures the loss of single members, each followed by a second
// loss in the same group right after the repair, mixed with short pauses. Each
// fabric domain has a spare host and each failure domain free hosts for one
// replica.
func MemberLoss() Experiment {
	return Experiment{
		Name:    "member-loss",
		Summary: "Members fail, again right after the repair, or only pause.",
		Targets: halfOfBaseline(),
		Run: func(ctx context.Context, o Options, policy Policy, seed int64) ([]Figure, error) {
			return runLoss(ctx, o, policy, fleetLayout{headroom: 1}, seed, memberSpan, (*fleetRun).planMemberLosses)
		},
	}
}

// MemberLossTight is MemberLoss with one spare host for each fabric domain and
// no other free host: a second loss in one fabric domain costs a replica.
func MemberLossTight() Experiment {
	return Experiment{
		Name:    "member-loss-tight",
		Summary: "Members fail, again right after the repair, or only pause; only one spare host for each fabric domain.",
		Run: func(ctx context.Context, o Options, policy Policy, seed int64) ([]Figure, error) {
			return runLoss(ctx, o, policy, fleetLayout{}, seed, memberSpan, (*fleetRun).planMemberLosses)
		},
	}
}

// FabricLoss measures outages of whole fabric domains. Each failure domain has
// free hosts for one more replica.
func FabricLoss() Experiment {
	return Experiment{
		Name:    "fabric-loss",
		Summary: "Whole fabric domains fail; each failure domain has free hosts for one more replica.",
		Targets: halfOfBaseline(),
		Run: func(ctx context.Context, o Options, policy Policy, seed int64) ([]Figure, error) {
			return runLoss(ctx, o, policy, fleetLayout{headroom: 1}, seed, fabricSpan, (*fleetRun).planFabricLosses)
		},
	}
}

// FabricLossTight is FabricLoss without free hosts beyond the spares: no group
// can be formed elsewhere, which bounds what any planner can do.
func FabricLossTight() Experiment {
	return Experiment{
		Name:    "fabric-loss-tight",
		Summary: "Whole fabric domains fail; there is only one spare host for each fabric domain.",
		Run: func(ctx context.Context, o Options, policy Policy, seed int64) ([]Figure, error) {
			return runLoss(ctx, o, policy, fleetLayout{}, seed, fabricSpan, (*fleetRun).planFabricLosses)
		},
	}
}

func runLoss(ctx context.Context, o Options, policy Policy, l fleetLayout, seed int64, span time.Duration, plan func(*fleetRun)) ([]Figure, error) {
	r, err := newFleetRun(o, policy, l, presetPolicy(o.Preset), seed)
	if err != nil {
		return nil, err
	}
	plan(r)
	if err := r.run(ctx, span); err != nil {
		return nil, err
	}
	return r.figures(), nil
}

// planMemberLosses chooses the faults from the initial groups, which are the
// same for each policy, so that both policies get the same faults.
func (r *fleetRun) planMemberLosses() {
	groups := r.store.Groups()
	for range memberLosses {
		g := groups[r.rng.IntN(len(groups))]
		first := r.rng.IntN(len(g.Members))
		second := (first + 1) % len(g.Members)
		at := between(r.rng, 0, memberSpan-maxOutage-lossTail)
		r.outage(g.Members[first], at)
		r.outage(g.Members[second], at+secondLossAfter)
	}
	r.planPauses(groups, memberSpan)
}

func (r *fleetRun) planPauses(groups []api.Group, span time.Duration) {
	for range memberPauses {
		g := groups[r.rng.IntN(len(groups))]
		id := g.Members[r.rng.IntN(len(g.Members))]
		at := between(r.rng, 0, span-lossTail)
		r.schedule(at, func(m *FleetModel) { m.Pause(m.Host(id)) })
		r.schedule(at+between(r.rng, minPause, maxPause), func(m *FleetModel) { m.Resume(m.Host(id)) })
	}
}

// outage stops a host and brings it back under a new incarnation.
func (r *fleetRun) outage(id api.HostID, at time.Duration) {
	r.schedule(at, func(m *FleetModel) { m.Kill(m.Host(id)) })
	r.schedule(at+between(r.rng, minOutage, maxOutage), func(m *FleetModel) {
		if h := m.Host(id); !h.Up {
			m.Start(h)
		}
	})
}

// planFabricLosses schedules outages of fabric domains one after another,
// alternating between loss of power and loss of network, mixed with pauses of
// members.
func (r *fleetRun) planFabricLosses() {
	groups := r.store.Groups()
	window := (fabricSpan - lossTail) / fabricLosses
	for n := range fabricLosses {
		name := groups[r.rng.IntN(len(groups))].Fabric
		at := time.Duration(n)*window + between(r.rng, 0, window-maxFabricOutage)
		r.fabricOutage(name, n%2 == 0, at, at+between(r.rng, minFabricOutage, maxFabricOutage))
	}
	r.planPauses(groups, fabricSpan)
}

func (r *fleetRun) fabricOutage(name api.FabricDomain, power bool, from, to time.Duration) {
	for _, h := range r.model.Hosts {
		switch {
		case h.Fabric != name:
		case power:
			r.schedule(from, func(m *FleetModel) { m.Kill(h) })
			r.schedule(to, func(m *FleetModel) { m.Start(h) })
		default:
			r.schedule(from, func(m *FleetModel) { m.Pause(h) })
			r.schedule(to, func(m *FleetModel) { m.Resume(h) })
		}
	}
}

// between returns a random duration in [lo, hi).
func between(rng *rand.Rand, lo, hi time.Duration) time.Duration {
	return lo + time.Duration(rng.Int64N(int64(hi-lo)))
}
