package placement

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/standin"
)

// simRequest is one request of a load simulation.
type simRequest struct {
	demand    Demand
	arrived   time.Time
	waiter    *waiter
	place     *Placement
	id        string
	first     time.Time
	done      bool
	abandoned bool
}

// simulation runs requests against stand-in replicas with the pass model of the engines.
type simulation struct {
	*fakeTime
	pool    *Pool
	rng     *rand.Rand
	engines map[string]*standin.ReplicaSimulator
	byID    map[string]*simRequest
	running map[string][]*simRequest
	waiting []*simRequest
	all     []*simRequest
	refused int
	// arrivalOrder hides the objectives, so that the queue is served in order of arrival.
	arrivalOrder bool
}

const (
	simLength = 20 * time.Second
	simTick   = 5 * time.Millisecond
	// callerTimeout is how long a caller waits for the next event.
	callerTimeout = 2400 * time.Millisecond
)

func newSimulation() *simulation {
	pool, clock := enginePool("a", "b")
	sim := &simulation{
		fakeTime: clock, pool: pool, rng: rand.New(rand.NewPCG(1, 2)), engines: make(map[string]*standin.ReplicaSimulator),
		byID: make(map[string]*simRequest), running: make(map[string][]*simRequest),
	}
	for id := range pool.targets {
		sim.engines[id] = standin.NewReplicaSimulator(pool.profile, 1)
	}
	return sim
}

func (sim *simulation) arrive() {
	d := sim.demand(500 + sim.rng.IntN(2000))
	d.Answer = 40 + sim.rng.IntN(160)
	if sim.arrivalOrder {
		d.Objective = sim.now.Add(time.Hour)
	}
	r := &simRequest{demand: d, arrived: sim.now, id: strconv.Itoa(len(sim.all))}
	sim.all = append(sim.all, r)
	sim.byID[r.id] = r
	w, placement, err := sim.pool.placeOrEnqueue(&r.demand, sim.pool.now())
	switch {
	case err != nil:
		sim.refused++
		r.done = true
	case placement != nil:
		sim.start(r, placement)
	default:
		r.waiter = w
		sim.waiting = append(sim.waiting, r)
	}
}

func (sim *simulation) start(r *simRequest, placement *Placement) {
	r.place = placement
	sim.engines[placement.Target.ID].Add(standin.Work{ID: r.id, Prompt: r.demand.Prompt, Answer: r.demand.Answer})
	sim.running[placement.Target.ID] = append(sim.running[placement.Target.ID], r)
}

// step advances the pool and the replicas to the current time.
func (sim *simulation) step() {
	sim.pool.PlaceWaiting()
	sim.waiting = slices.DeleteFunc(sim.waiting, func(r *simRequest) bool {
		switch {
		case isPlaced(r.waiter):
			sim.start(r, <-r.waiter.placed)
		case !sim.now.Before(r.waiter.expires):
			if placement := sim.pool.dequeue(r.waiter); placement != nil {
				sim.pool.Release(placement)
			}
			sim.refused++
			r.done = true
		default:
			return false
		}
		return true
	})
	for id := range sim.pool.targets {
		sim.applyOutputs(id, sim.engines[id].Advance(sim.now))
	}
}

// applyOutputs records the outputs of a replica, and lets callers give up.
func (sim *simulation) applyOutputs(id string, outputs []standin.Output) {
	for _, o := range outputs {
		r := sim.byID[o.ID]
		if o.Tokens > 0 {
			if r.first.IsZero() {
				r.first = sim.now
				sim.pool.RecordFirstEvent(r.place)
			}
			sim.pool.RecordBytes(r.place)
		}
		r.done = r.done || o.Done
	}
	kept := sim.running[id][:0]
	for _, r := range sim.running[id] {
		late := r.first.IsZero() && sim.now.Sub(r.arrived) > callerTimeout || sim.now.After(r.demand.Deadline)
		if !r.done && !late {
			kept = append(kept, r)
			continue
		}
		if !r.done {
			r.abandoned = true
			sim.engines[id].Remove(r.id)
		}
		sim.pool.Release(r.place)
	}
	sim.running[id] = kept
}

// run simulates requests at a rate for simLength and returns the shares of them that
// were on time, served at all, and abandoned after work was spent on them.
func (sim *simulation) run(perSecond float64) (onTime, served, wasted float64) {
	next := sim.now
	for end := sim.now.Add(simLength); sim.now.Before(end); sim.advance(simTick) {
		for !sim.now.Before(next) {
			sim.arrive()
			next = next.Add(time.Duration(sim.rng.ExpFloat64() / perSecond * float64(time.Second)))
		}
		sim.step()
	}
	for _, r := range sim.all {
		switch {
		case r.abandoned:
			wasted++
		case r.first.IsZero():
		default:
			served++
			if r.first.Sub(r.arrived) <= 300*time.Millisecond {
				onTime++
			}
		}
	}
	n := float64(len(sim.all))
	return onTime / n, served / n, wasted / n
}

// TestArrivalOrderMakesRequestsLate checks that the simulation detects a queue in order
// of arrival, which makes nearly every request late.
func TestArrivalOrderMakesRequestsLate(t *testing.T) {
	sim := newSimulation()
	sim.arrivalOrder = true
	onTime, served, _ := sim.run(20)
	require.Less(t, onTime, 0.4*served, "the simulation detects the late requests")
}

// TestOverloadKeepsServing simulates twice the capacity of two replicas, as for a model
// whose replicas were lost faster than they were replaced.
func TestOverloadKeepsServing(t *testing.T) {
	onTime, served, wasted := newSimulation().run(20)
	t.Logf("on time %.2f, served %.2f, wasted %.2f", onTime, served, wasted)
	require.Less(t, wasted, 0.02, "work for callers that gave up")
	require.Greater(t, served, 0.3, "the replicas keep serving at capacity")
	require.Greater(t, onTime, 0.5*served, "those that can be on time go first")
}

// TestOverloadWithoutLatenessFilters checks that the simulation detects wasted work:
// without the filters "slow" and "busy" the replicas work for callers that have given up.
func TestOverloadWithoutLatenessFilters(t *testing.T) {
	old := filters
	defer func() { filters = old }()
	filters = slices.DeleteFunc(slices.Clone(old), func(f filter) bool { return f.name == "slow" || f.name == "busy" })
	_, _, wasted := newSimulation().run(36)
	require.Greater(t, wasted, 0.1, "the simulation detects the wasted work")
}

// TestLightLoadIsOnTime simulates a third of the capacity of two replicas.
func TestLightLoadIsOnTime(t *testing.T) {
	onTime, served, _ := newSimulation().run(3)
	require.Greater(t, served, 0.98)
	require.Greater(t, onTime, 0.95)
}
