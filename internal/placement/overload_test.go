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

// played is one request of a load play.
type played struct {
	demand    Demand
	arrived   time.Time
	waiter    *waiter
	place     *Placement
	id        string
	first     time.Time
	done      bool
	abandoned bool
}

// play runs requests against stand-in replicas with the pass model of the engines.
type play struct {
	*fakeTime
	pool    *Pool
	rng     *rand.Rand
	engines map[string]*standin.Passes
	byID    map[string]*played
	running map[string][]*played
	waiting []*played
	all     []*played
	refused int
	// inOrder hides the objectives, so that the queue is served in order.
	inOrder bool
}

const (
	playLength = 20 * time.Second
	playTick   = 5 * time.Millisecond
	// playPatience is how long a caller waits for the next event.
	playPatience = 2400 * time.Millisecond
)

func newPlay() *play {
	pool, clock := enginePool("a", "b")
	p := &play{
		fakeTime: clock, pool: pool, rng: rand.New(rand.NewPCG(1, 2)), engines: make(map[string]*standin.Passes),
		byID: make(map[string]*played), running: make(map[string][]*played),
	}
	for id := range pool.targets {
		p.engines[id] = standin.NewPasses(pool.profile, 1)
	}
	return p
}

func (p *play) arrive() {
	d := p.demand(500 + p.rng.IntN(2000))
	d.Answer = 40 + p.rng.IntN(160)
	if p.inOrder {
		d.Objective = p.now.Add(time.Hour)
	}
	r := &played{demand: d, arrived: p.now, id: strconv.Itoa(len(p.all))}
	p.all = append(p.all, r)
	p.byID[r.id] = r
	w, placement, err := p.pool.enter(&r.demand)
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

func (p *play) start(r *played, placement *Placement) {
	r.place = placement
	p.engines[placement.Target.ID].Add(standin.Work{ID: r.id, Prompt: r.demand.Prompt, Answer: r.demand.Answer})
	p.running[placement.Target.ID] = append(p.running[placement.Target.ID], r)
}

// step runs the replicas up to now.
func (p *play) step() {
	p.pool.Pump()
	p.waiting = slices.DeleteFunc(p.waiting, func(r *played) bool {
		switch {
		case isPlaced(r.waiter):
			p.start(r, <-r.waiter.placed)
		case !p.now.Before(r.waiter.until):
			if placement := p.pool.leave(r.waiter); placement != nil {
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
		p.note(id, p.engines[id].Advance(p.now))
	}
}

// note takes what a replica did for its requests, and lets callers give up.
func (p *play) note(id string, outputs []standin.Output) {
	for _, o := range outputs {
		r := p.byID[o.ID]
		if o.Tokens > 0 {
			if r.first.IsZero() {
				r.first = p.now
				p.pool.FirstEvent(r.place)
			}
			p.pool.Answered(r.place)
		}
		r.done = r.done || o.Done
	}
	kept := p.running[id][:0]
	for _, r := range p.running[id] {
		late := r.first.IsZero() && p.now.Sub(r.arrived) > playPatience || p.now.After(r.demand.Deadline)
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

// run plays requests at a rate for playLength and returns the shares of them that were
// on time, served at all, and abandoned after work was spent on them.
func (p *play) run(perSecond float64) (onTime, served, wasted float64) {
	next := p.now
	for end := p.now.Add(playLength); p.now.Before(end); p.advance(playTick) {
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

// TestOverloadOrder is the broken variant of the queue's order: first come, first
// served makes nearly every request late.
func TestOverloadOrder(t *testing.T) {
	p := newPlay()
	p.inOrder = true
	onTime, served, _ := p.run(20)
	require.Less(t, onTime, 0.4*served, "the play finds the fault")
}

// TestOverloadKeepsServing plays twice what two replicas bear. The load is that of a
// model whose replicas were lost faster than they came back.
func TestOverloadKeepsServing(t *testing.T) {
	onTime, served, wasted := newPlay().run(20)
	t.Logf("on time %.2f, served %.2f, wasted %.2f", onTime, served, wasted)
	require.Less(t, wasted, 0.02, "work for callers that give up")
	require.Greater(t, served, 0.3, "the replicas go on serving what they bear")
	require.Greater(t, onTime, 0.5*served, "those that can be on time go first")
}

// TestOverloadWithoutPatience is the broken variant: without the moment at which
// callers give up, the replicas work for callers that are gone.
func TestOverloadWithoutPatience(t *testing.T) {
	old := filters
	defer func() { filters = old }()
	filters = slices.DeleteFunc(slices.Clone(old), func(f filter) bool { return f.name == "slow" || f.name == "busy" })
	_, _, wasted := newPlay().run(36)
	require.Greater(t, wasted, 0.1, "the play finds the fault")
}

// TestLightLoadIsOnTime plays a third of what two replicas bear.
func TestLightLoadIsOnTime(t *testing.T) {
	onTime, served, _ := newPlay().run(3)
	require.Greater(t, served, 0.98)
	require.Greater(t, onTime, 0.95)
}
