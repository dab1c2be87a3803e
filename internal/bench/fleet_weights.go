package bench

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// Settings of the domain-weights experiment.
const (
	weightsSpan     = 30 * time.Minute
	weightsHeadroom = 9
	weightsLosses   = 6
	// weightsLoadRate is the rate, in bytes a second, of a weight store that
	// loads a large replica in 17.5 s.
	weightsLoadRate  = 8 << 30
	weightsLoadBurst = largeHosts * largeLoadBytes
)

// Names of the figures of the domain-weights experiment.
const (
	FigureBroken    = "broken replicas"
	FigureDisplaced = "displaced replicas"
)

// DomainWeights measures the effect of the weights of a preset: a failure
// domain is drained while members fail elsewhere and the weight store is slow,
// so that repairs and replacements compete for loads.
func DomainWeights() Experiment {
	return Experiment{
		Name:    "domain-weights",
		Summary: "A failure domain is drained while members fail elsewhere and loads are scarce.",
		Run: func(ctx context.Context, o Options, policy Policy, seed int64) ([]Figure, error) {
			p := presetPolicy(o.Preset)
			p.LoadRate, p.LoadBurst = weightsLoadRate, weightsLoadBurst
			r, err := newFleetRun(o, policy, fleetLayout{headroom: weightsHeadroom}, p, seed)
			if err != nil {
				return nil, err
			}
			// Both presets get the same faults.
			r.rng = rand.New(rand.NewPCG(uint64(seed), 0))
			w := &weightsRun{fleetRun: r}
			w.plan()
			if err := r.run(ctx, weightsSpan); err != nil {
				return nil, err
			}
			return append(r.figures(),
				Figure{Name: FigureBroken, Unit: "replica-seconds", Value: w.broken},
				Figure{Name: FigureDisplaced, Unit: "replica-seconds", Value: w.displaced}), nil
		},
	}
}

// weightsRun splits the downtime by its cause.
type weightsRun struct {
	*fleetRun
	broken    float64
	displaced float64
}

func (w *weightsRun) plan() {
	drained := api.FailureDomain("domain-0")
	w.schedule(0, func(*FleetModel) {
		w.store.Domains = []api.Domain{{Name: drained, State: api.DomainDrained}}
		w.store.Revision++
	})
	var others []api.Group
	for _, g := range w.store.Groups() {
		if g.Domain != drained {
			others = append(others, g)
		}
	}
	for range weightsLosses {
		g := others[w.rng.IntN(len(others))]
		w.outage(g.Members[w.rng.IntN(len(g.Members))], between(w.rng, 0, time.Minute))
	}
	w.onMeasure = w.attributeDowntime
}

// attributeDowntime adds one tick: replicas of active domains that lost a
// member are broken, the other missing ones were displaced by the drain.
func (w *weightsRun) attributeDowntime(d time.Duration) {
	missing := w.missing()
	broken := 0
	for _, g := range w.store.groups {
		reformed := g.Phase == api.GroupLoading && w.reformed[g.ID]
		if !w.drained(g.Domain) && (g.Phase == api.GroupBroken || reformed) {
			broken++
		}
	}
	broken = min(broken, missing)
	w.broken += float64(broken) * d.Seconds()
	w.displaced += float64(missing-broken) * d.Seconds()
}
