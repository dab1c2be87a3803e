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
	p := &simulation{
		fakeTime: clock, pool: pool, rng: rand.New(rand.NewPCG(1, 2)), engines: make(map[string]*standin.ReplicaSimulator),
		byID: make(map[string]*simRequest), running: make(map[string][]*simRequest),
	}
	for id := range pool.targets {
		p.engines[id] = standin.NewReplicaSimulator(pool.profile, 1)
	}
	return p
}

func (p *simulation) arrive() {
	d := p.demand(500 + p.rng.IntN(2000))
	d.Answer = 40 + p.rng.IntN(160)
	if p.arrivalOrder {
		d.Objective = p.now.Add(time.Hour)
	}
	r := &simRequest{demand: d, arrived: p.now, id: strconv.Itoa(len(p.all))}
	p.all = append(p.all, r)
	p.byID[r.id] = r
	w, placement, err := p.pool.placeOrEnqueue(&r.demand)
	switch {
	case err != nil:
		p.refused++
		r.done = true
	case placement != nil:
		p.start(r, placement)
	default:
		r.waiter = w
		p.waiting = append(p.waiting, r)
	}
}

func (p *simulation) start(r *simRequest, placement *Placement) {
	r.place = placement
	p.engines[placement.Target.ID].Add(standin.Work{ID: r.id, Prompt: r.demand.Prompt, Answer: r.demand.Answer})
	p.running[placement.Target.ID] = append(p.running[placement.Target.ID], r)
}

// step advances the pool and the replicas to the current time.
func (p *simulation) step() {
	p.pool.PlaceWaiting()
	p.waiting = slices.DeleteFunc(p.waiting, func(r *simRequest) bool {
		switch {
		case isPlaced(r.waiter):
			p.start(r, <-r.waiter.placed)
		case !p.now.Before(r.waiter.expires):
			if placement := p.pool.dequeue(r.waiter); placement != nil {
				p.pool.Release(placement)
			}
			p.refused++
			r.done = true
		default:
			return false
		}
		return true
	})
	for id := range p.pool.targets {
		p.applyOutputs(id, p.engines[id].Advance(p.now))
	}
}

// applyOutputs records the outputs of a replica, and lets callers give up.
func (p *simulation) applyOutputs(id string, outputs []standin.Output) {
	for _, o := range outputs {
		r := p.byID[o.ID]
		if o.Tokens > 0 {
			if r.first.IsZero() {
				r.first = p.now
				p.pool.RecordFirstEvent(r.place)
			}
			p.pool.RecordBytes(r.place)
		}
		r.done = r.done || o.Done
	}
	kept := p.running[id][:0]
	for _, r := range p.running[id] {
		late := r.first.IsZero() && p.now.Sub(r.arrived) > callerTimeout || p.now.After(r.demand.Deadline)
		if !r.done && !late {
			kept = append(kept, r)
			continue
		}
		if !r.done {
			r.abandoned = true
			p.engines[id].Remove(r.id)
		}
		p.pool.Release(r.place)
	}
	p.running[id] = kept
}

// run simulates requests at a rate for simLength and returns the shares of them that
// were on time, served at all, and abandoned after work was spent on them.
func (p *simulation) run(perSecond float64) (onTime, served, wasted float64) {
	next := p.now
	for end := p.now.Add(simLength); p.now.Before(end); p.advance(simTick) {
		for !p.now.Before(next) {
			p.arrive()
			next = next.Add(time.Duration(p.rng.ExpFloat64() / perSecond * float64(time.Second)))
		}
		p.step()
	}
	for _, r := range p.all {
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
	n := float64(len(p.all))
	return onTime / n, served / n, wasted / n
}

// TestArrivalOrderMakesRequestsLate checks that the simulation detects a queue in order
// of arrival, which makes nearly every request late.
func TestArrivalOrderMakesRequestsLate(t *testing.T) {
	p := newSimulation()
	p.arrivalOrder = true
	onTime, served, _ := p.run(20)
	require.Less(t, onTime, 0.4*served, "the play finds the fault")
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
// without these filters the replicas work for callers that have given up.
func TestOverloadWithoutLatenessFilters(t *testing.T) {
	old := filters
	defer func() { filters = old }()
	filters = slices.DeleteFunc(slices.Clone(old), func(f filter) bool { return f.name == "slow" || f.name == "busy" })
	_, _, wasted := newSimulation().run(36)
	require.Greater(t, wasted, 0.1, "the play finds the fault")
}

// TestLightLoadIsOnTime simulates a third of the capacity of two replicas.
func TestLightLoadIsOnTime(t *testing.T) {
	onTime, served, _ := newSimulation().run(3)
	require.Greater(t, served, 0.98)
	require.Greater(t, onTime, 0.95)
}
