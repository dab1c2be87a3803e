package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/group"
)

// Layout of the stand-in fleet of a deployment.
const (
	fleetDomains          = 3
	fleetFabricsPerDomain = 4
	largeReplicas         = 50
	largeHosts            = 4
	smallReplicas         = 3
	smallHosts            = 2
	sparesPerFabric       = 1
	largeLoadBytes        = 35 << 30
	smallLoadBytes        = 8 << 30
	fleetTick             = 500 * time.Millisecond
	// After fleetSteadyAfter without a change, ticks are fleetDegradedTick long
	// while replicas are missing and fleetSteadyTick otherwise.
	fleetDegradedTick     = 2 * time.Second
	fleetSteadyTick       = 5 * time.Second
	fleetSteadyAfter      = 20 * time.Second
	fleetLoadTime         = 90 * time.Second
	fleetColdTime         = 30 * time.Second
	fleetAnnounceInterval = time.Second
	bringUpTimeout        = 30 * time.Minute
)

// fleetLayout adds spare hosts to what the replicas need.
type fleetLayout struct {
	// headroom is the number of large replicas for which each failure domain
	// has additional free hosts.
	headroom int
}

// fleetRun is one policy's run over a fleet.
type fleetRun struct {
	model *FleetModel
	store *FleetStore
	rec   *group.Reconciler
	rng   *rand.Rand
	meter fleetMeter
	// spareHosts is the number of hosts of each fabric domain that are spare
	// once every replica is ready.
	spareHosts map[api.FabricDomain]int
	events     []fleetEvent
	// reformed holds the groups that were repaired during the run.
	reformed map[api.GroupID]bool
	// onMeasure, when set, is called for each tick.
	onMeasure func(d time.Duration)
	// changed is the last time at which the store changed or a fault was near,
	// and revision the store's revision at the last tick.
	changed  time.Duration
	revision api.Revision
}

// fleetEvent is a fault scheduled in logical time.
type fleetEvent struct {
	at time.Duration
	do func(m *FleetModel)
}

func servingGroups(p Preset) []api.ServingGroup {
	large, small := "scribe", "ledger"
	if p == PresetTabrak {
		large, small = "rigger-assistant", "crew-app"
	}
	return []api.ServingGroup{
		{
			Name: api.ServingGroupName(large), Model: large, Replicas: largeReplicas, HostsPerReplica: largeHosts,
			Spares: sparesPerFabric, ChecksFencing: true, LoadBytes: largeLoadBytes,
		},
		{
			Name: api.ServingGroupName(small), Model: small, Replicas: smallReplicas, HostsPerReplica: smallHosts,
			ChecksFencing: true, LoadBytes: smallLoadBytes,
		},
	}
}

func presetPolicy(p Preset) group.Policy {
	if p == PresetTabrak {
		return group.PresetTabrak()
	}
	return group.PresetNilecraft()
}

// newFleetRun builds the fleet and brings every replica up.
func newFleetRun(o Options, policy Policy, l fleetLayout, p group.Policy, seed int64) (*fleetRun, error) {
	store := NewFleetStore(servingGroups(o.Preset)...)
	model := NewFleetModel(store, FleetTimes{Load: fleetLoadTime, Cold: fleetColdTime, Announce: fleetAnnounceInterval}, p.DetectionBound)
	r := &fleetRun{model: model, store: store, rng: rand.New(rand.NewPCG(uint64(seed), xxhash.Sum64String(string(o.Preset))))}
	r.addHosts(l)
	var planner group.Planner
	if policy == PolicyBaseline {
		planner = sameHostPlanner
	}
	r.rec = group.New(group.Config{Policy: p, Sender: model, Clock: model.Clock, Go: model.Go, Planner: planner})
	return r, r.bringUp()
}

// addHosts spreads the hosts that the replicas need, a spare host for each
// fabric domain and the headroom of each failure domain.
func (r *fleetRun) addHosts(l fleetLayout) {
	sizes := make([]int, fleetDomains*fleetFabricsPerDomain)
	for i := range largeReplicas {
		sizes[i%len(sizes)] += largeHosts
	}
	for i := range sizes {
		sizes[i] += sparesPerFabric
	}
	for i := range smallReplicas {
		sizes[len(sizes)-1-i] += smallHosts
	}
	for d := range fleetDomains {
		for n := range l.headroom {
			sizes[d+fleetDomains*(n%fleetFabricsPerDomain)] += largeHosts
		}
	}
	for i, size := range sizes {
		for n := range size {
			r.model.Add(&FleetHost{
				ID:            api.HostID(fmt.Sprintf("host-%02d-%02d", i, n)),
				Fabric:        api.FabricDomain(fmt.Sprintf("fabric-%02d", i)),
				Domain:        api.FailureDomain(fmt.Sprintf("domain-%d", i%fleetDomains)),
				ChecksFencing: true,
			})
		}
	}
}

// bringUp runs until every replica is ready, and then resets the meter.
func (r *fleetRun) bringUp() error {
	for waited := time.Duration(0); r.missing() > 0; waited += fleetTick {
		if waited > bringUpTimeout {
			return fmt.Errorf("bring up the fleet: %d replicas are missing after %s", r.missing(), waited)
		}
		if err := r.tick(fleetTick); err != nil {
			return err
		}
	}
	r.spareHosts, _ = r.unused()
	r.meter = fleetMeter{loads: -r.model.Loads}
	r.reformed = make(map[api.GroupID]bool)
	r.store.OnChange = r.countMoves
	return nil
}

func (r *fleetRun) tick(d time.Duration) error {
	r.model.Advance(d)
	if err := r.rec.Reconcile(context.Background(), r.model.View(), r.store); err != nil {
		return err
	}
	r.model.RunQueue()
	return nil
}

// run applies the scheduled events and measures for a span of logical time.
func (r *fleetRun) run(ctx context.Context, span time.Duration) error {
	for at := time.Duration(0); at < span; {
		if err := ctx.Err(); err != nil {
			return err
		}
		r.applyEvents(at)
		d := r.nextTick(at)
		if err := r.tick(d); err != nil {
			return err
		}
		r.measure(d)
		at += d
	}
	return nil
}

// nextTick returns a longer tick while nothing changes and no fault is near.
func (r *fleetRun) nextTick(at time.Duration) time.Duration {
	if r.store.Revision != r.revision {
		r.revision, r.changed = r.store.Revision, at
	}
	for _, e := range r.events {
		if e.at < at+fleetSteadyTick {
			r.changed = at
		}
	}
	switch {
	case at-r.changed < fleetSteadyAfter:
		return fleetTick
	case r.missing() > 0:
		return fleetDegradedTick
	default:
		return fleetSteadyTick
	}
}

// applyEvents applies the events that are due.
func (r *fleetRun) applyEvents(at time.Duration) {
	rest := r.events[:0]
	for _, e := range r.events {
		if e.at <= at {
			e.do(r.model)
			continue
		}
		rest = append(rest, e)
	}
	r.events = rest
}

func (r *fleetRun) schedule(at time.Duration, do func(m *FleetModel)) {
	r.events = append(r.events, fleetEvent{at: at, do: do})
}
