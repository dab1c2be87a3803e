package group_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/bench"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/group"
)

// leaderLease is how long an older leader may continue to send orders.
const leaderLease = 3 * time.Second

var errLost = errors.New("lost")

// delivery is what the network does to an order.
type delivery int

const (
	deliveryOK delivery = iota
	deliveryLost
	deliveryAnswerLost
	deliveryLate
)

// faultyFleet is the system under test: hosts, a network that loses and delays
// orders, a leader and an older leader that still sends orders from its last view.
type faultyFleet struct {
	*rig
	rt     *rapid.T
	policy group.Policy
	faults bool
	late   []lateDelivery
	// shown are the incarnations in the current view, decidedOn those in the view
	// on which the order that is being sent was decided.
	shown     incarnations
	decidedOn incarnations

	older      *group.Reconciler
	olderView  api.FleetView
	olderUntil time.Time
}

type lateDelivery struct {
	order     api.Order
	due       time.Time
	decidedOn incarnations
}

// Send implements backend.OrderSender over the faulty network.
func (w *faultyFleet) Send(ctx context.Context, _ string, o api.Order) (api.OrderResult, error) {
	f := deliveryOK
	if w.faults {
		f = rapid.SampledFrom([]delivery{
			deliveryOK, deliveryOK, deliveryOK, deliveryLost, deliveryAnswerLost, deliveryLate,
		}).Draw(w.rt, "delivery")
	}
	switch f {
	case deliveryLost:
		return api.OrderResult{}, errLost
	case deliveryAnswerLost:
		_, _ = w.deliver(ctx, o, w.decidedOn)
		return api.OrderResult{}, errLost
	case deliveryLate:
		delay := rapid.Int64Range(1, w.policy.OrderTimeout.Milliseconds()).Draw(w.rt, "delay")
		due := w.model.Clock.Now().Add(time.Duration(delay) * time.Millisecond)
		w.late = append(w.late, lateDelivery{order: o, due: due, decidedOn: w.decidedOn})
		return api.OrderResult{}, errLost
	default:
		return w.deliver(ctx, o, w.decidedOn)
	}
}

// deliver delivers an order and passes the view of its decision to the checker.
func (w *faultyFleet) deliver(ctx context.Context, o api.Order, decidedOn incarnations) (api.OrderResult, error) {
	w.check.decidedOn = decidedOn
	defer func() { w.check.decidedOn = nil }()
	return w.model.Send(ctx, string(o.Host), o)
}

// formerLeaderStore refuses all changes, as the store does on a former leader.
type formerLeaderStore struct{}

func (formerLeaderStore) ChangeGroup(context.Context, api.GroupChange) (api.GroupChangeResult, error) {
	return api.GroupChangeResult{}, errs.New(errs.NotLeader, "change group", "", "not the leader")
}

func newFaultyFleet(t *testing.T, rt *rapid.T) *faultyFleet {
	p := group.DefaultPolicy()
	p.LoadRate, p.LoadBurst = 1<<30, 8<<30
	p.MaxLoads, p.MaxDomainLoads = 4, 3
	p.BackoffMax = 30 * time.Second
	ledger := api.ServingGroup{
		Name: "ledger", Model: "ledger-8b", Replicas: rapid.IntRange(0, 2).Draw(rt, "ledgers"),
		HostsPerReplica: 2, ChecksFencing: false, LoadBytes: 1 << 28, Importance: 5,
	}
	sg := scribe(rapid.IntRange(1, 4).Draw(rt, "scribes"), rapid.IntRange(2, 4).Draw(rt, "size"))
	sg.Spares = rapid.IntRange(0, 1).Draw(rt, "spares")
	p.Rebalance = sg.Replicas%2 == 0
	w := &faultyFleet{rig: newRig(t, p, sg, ledger), rt: rt, policy: p, faults: true}
	for i := range rapid.IntRange(1, 4).Draw(rt, "fabrics") {
		name, domain := fmt.Sprintf("f%d", i), fmt.Sprintf("d%d", i%2)
		w.add(name, domain, rapid.IntRange(2, 7).Draw(rt, "hosts"), false)
	}
	for _, h := range w.model.Hosts {
		h.ChecksFencing = rapid.IntRange(0, 3).Draw(rt, "checks") > 0
	}
	w.rec = w.newLeader()
	return w
}

func (w *faultyFleet) newLeader() *group.Reconciler {
	return group.New(group.Config{Policy: w.policy, Sender: w, Clock: w.model.Clock, Go: w.start})
}

// start queues the sending of an order together with the view of its decision.
func (w *faultyFleet) start(send func()) {
	shown := w.shown
	w.model.Go(func() {
		w.decidedOn = shown
		send()
	})
}

// advance lets the fleet run for n ticks.
func (w *faultyFleet) advance(n int) {
	for range n {
		w.model.Advance(tick)
		w.deliverLate()
		w.shown = incarnationsIn(w.model.View())
		w.runOlder()
		require.NoError(w.rt, w.rec.Reconcile(context.Background(), w.model.View(), w.store))
		for _, f := range w.model.TakeQueue() {
			if w.faults && rapid.IntRange(0, 7).Draw(w.rt, "held") == 0 {
				w.model.Go(f)
				continue
			}
			f()
		}
		w.check.observe()
		w.requireNoError(w.check.err)
	}
}

func (w *faultyFleet) requireNoError(err error) {
	if err != nil {
		w.rt.Fatalf("%v", err)
	}
}

func (w *faultyFleet) deliverLate() {
	var rest []lateDelivery
	for _, l := range w.late {
		if l.due.After(w.model.Clock.Now()) {
			rest = append(rest, l)
			continue
		}
		_, _ = w.deliver(context.Background(), l.order, l.decidedOn)
	}
	w.late = rest
}

// runOlder lets a former leader send the orders of its last view.
func (w *faultyFleet) runOlder() {
	if w.older == nil || w.model.Clock.Now().After(w.olderUntil) {
		return
	}
	v := w.model.View()
	v.Groups, v.Assignments = w.olderView.Groups, w.olderView.Assignments
	_ = w.older.Reconcile(context.Background(), v, formerLeaderStore{})
}

func (w *faultyFleet) anyHost() *bench.FleetHost {
	return rapid.SampledFrom(w.model.Hosts).Draw(w.rt, "host")
}

func (w *faultyFleet) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"run":     func(rt *rapid.T) { w.advance(rapid.IntRange(1, 40).Draw(rt, "ticks")) },
		"runLong": func(*rapid.T) { w.advance(150) },
		"kill":    func(*rapid.T) { w.model.Kill(w.anyHost()) },
		"start":   func(*rapid.T) { w.model.Start(w.anyHost()) },
		"pause":   func(*rapid.T) { w.model.Pause(w.anyHost()) },
		"resume":  func(*rapid.T) { w.resume(w.anyHost()) },
		"chill":   func(*rapid.T) { w.model.TurnCold(w.anyHost(), 5*time.Second) },
		"leave":   func(rt *rapid.T) { w.anyHost().Leaving = rapid.Bool().Draw(rt, "leaving") },
		"dark":    func(rt *rapid.T) { w.failFabric(rapid.Bool().Draw(rt, "power")) },
		"flap":    func(*rapid.T) { w.flap() },
		"domain":  func(rt *rapid.T) { w.setDomain(rt) },
		"leader":  func(*rapid.T) { w.changeLeader() },
		"scale": func(rt *rapid.T) {
			w.store.ServingGroups[0].Replicas = rapid.IntRange(0, 4).Draw(rt, "replicas")
		},
	}
}

// failFabric fails a whole fabric domain, by power or by network.
func (w *faultyFleet) failFabric(power bool) {
	name := w.anyHost().Fabric
	for _, h := range w.model.Hosts {
		switch {
		case h.Fabric != name:
		case power:
			w.model.Kill(h)
		default:
			w.model.Pause(h)
		}
	}
}

func (w *faultyFleet) flap() {
	h := w.anyHost()
	for range 4 {
		w.model.Kill(h)
		w.advance(10)
		w.model.Start(h)
		w.advance(10)
	}
}

func (w *faultyFleet) setDomain(rt *rapid.T) {
	d := w.anyHost().Domain
	state := rapid.SampledFrom([]api.DomainState{api.DomainActive, api.DomainDrained}).Draw(rt, "state")
	w.store.Revision++
	for i := range w.store.Domains {
		if w.store.Domains[i].Name == d {
			w.store.Domains[i].State = state
			return
		}
	}
	w.store.Domains = append(w.store.Domains, api.Domain{Name: d, State: state})
}

func (w *faultyFleet) changeLeader() {
	w.older, w.olderView = w.rec, w.model.View()
	w.olderUntil = w.model.Clock.Now().Add(leaderLease)
	w.rec = w.newLeader()
	w.check.leaders++
}

// endFaults ends all faults and runs the fleet for 5 minutes.
func (w *faultyFleet) endFaults() {
	w.faults = false
	w.store.Domains = nil
	for _, h := range w.model.Hosts {
		h.Leaving = false
		w.model.Resume(h)
		if !h.Up {
			w.model.Start(h)
		}
	}
	w.advance(5 * 300)
}

// settled reports the first group that is not ready, and the first serving group with
// too many replicas or with fewer than free hosts allow.
func (w *faultyFleet) settled() error {
	free := make(map[api.FabricDomain]int)
	for _, h := range w.model.Hosts {
		if w.store.Assignment(h.ID) == nil {
			free[h.Fabric]++
		}
	}
	ready := make(map[api.ServingGroupName]int)
	reserve := make(map[api.FabricDomain]int)
	spares := w.store.ServingGroups[0]
	for _, g := range w.store.Groups() {
		if g.Phase != api.GroupReady {
			return errors.Newf("group %s is still %s", g.ID, g.Phase)
		}
		ready[g.ServingGroup]++
		if g.ServingGroup == spares.Name {
			reserve[g.Fabric] = spares.Spares
		}
	}
	for _, sg := range w.store.ServingGroups {
		for f, n := range free {
			need := sg.HostsPerReplica + max(reserve[f], sg.Spares)
			if ready[sg.Name] < sg.Replicas && n >= need {
				return errors.Newf("%s has %d of %d replicas and %d hosts are free in %s", sg.Name, ready[sg.Name], sg.Replicas, n, f)
			}
		}
		if ready[sg.Name] > sg.Replicas {
			return errors.Newf("%s has %d replicas of %d", sg.Name, ready[sg.Name], sg.Replicas)
		}
	}
	return nil
}

func TestFleetHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newFaultyFleet(t, rt)
		w.advance(150)
		rt.Repeat(w.actions())
		w.endFaults()
		w.requireNoError(w.settled())
	})
}
