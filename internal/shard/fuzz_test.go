package shard

import (
	"flag"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/crocusway/crocusway/internal/api"
)

// waiting lists the tickets that the core has in its queue.
func (w *simulation) waiting(c *Core) map[uint64]*Ticket {
	out := map[uint64]*Ticket{}
	c.queue.each(func(t *Ticket) { out[t.ID] = w.undecided[c][t.ID] })
	return out
}

// settleOpen marks tickets as decided, each exactly once, and answers them.
func (w *simulation) recordDecisions(c *Core, out []Decision, o *fuzzEntry) {
	for i, d := range out {
		t := w.undecided[c][d.Ticket]
		if t == nil {
			w.fail("ticket %d was decided twice", d.Ticket)
			continue
		}
		if w.fault == faultLostTicket && i > 0 {
			continue
		}
		delete(w.undecided[c], d.Ticket)
		if d.Err != nil {
			continue
		}
		if o == nil {
			w.fail("grant without a lease")
			continue
		}
		w.checkGrant(o, d.Grant)
		w.sendGrant(d.Grant, t)
	}
}

// checkGrant compares a new grant with what truly runs on the replica.
func (w *simulation) checkGrant(o *fuzzEntry, g api.Grant) {
	if !o.allows(g) {
		w.fail("grant %s names %s at %d, which the owner's view does not let serve", g.ID, g.Group, g.Fencing)
	}
	limit := w.maxRequests(o, g.Group)
	if n := w.countRunning(g.Group, g.Fencing) + 1; n > limit {
		w.fail("grant %s makes %d requests on %s, which bears %d", g.ID, n, g.Group, limit)
	}
}

// allows reports whether the view of an owner lets a replica take new work: it
// is ready at the generation of the grant and does not leave.
func (e *fuzzEntry) allows(g api.Grant) bool {
	for _, known := range e.view.Groups {
		if known.ID == g.Group {
			return known.Phase == api.GroupReady && !known.Leaving && known.Fencing == g.Fencing
		}
	}
	return false
}

// bearable returns the largest number of requests that the view of an owner
// allows on a replica: what it announced, or one and one more for each
// completed request.
func (w *simulation) maxRequests(o *fuzzEntry, id api.GroupID) int {
	for _, g := range o.view.Groups {
		switch {
		case g.ID != id || g.Warm:
		case g.BearableLoad > 0:
			return g.BearableLoad
		default:
			return min(fuzzWarmLoad, 1+w.completed[o.core][id])
		}
	}
	return fuzzWarmLoad
}

// checkOrder reports a grant that passed over a ticket that goes first: one
// within its share or its credit before one that is not, then the higher class.
func (w *simulation) checkOrder(out []Decision, waiting map[uint64]*Ticket, held map[api.AccountID]int, credit *fuzzCredit) {
	for _, d := range out {
		t := waiting[d.Ticket]
		delete(waiting, d.Ticket)
		if d.Err != nil || t == nil {
			continue
		}
		for _, other := range waiting {
			if !t.Request.Alone && !other.Request.Alone && precedes(other, t, held, credit) {
				w.fail("ticket %d was passed over by %d", other.ID, t.ID)
			}
		}
		held[t.Request.Account]++
		if _, known := credit.balance[t.Request.Account]; !known && t.Share > 0 {
			credit.balance[t.Request.Account] = 1
		}
	}
}

func precedes(a, b *Ticket, held map[api.AccountID]int, credit *fuzzCredit) bool {
	within := func(t *Ticket) bool {
		n, id := held[t.Request.Account], t.Request.Account
		return n < t.Share || (n < 2*t.Share && credit.covers(id))
	}
	withinA, withinB := within(a), within(b)
	if withinA != withinB {
		return withinA
	}
	return a.Class > b.Class
}

// checkIdle reports a plain ticket that waits beside a free slot.
func (w *simulation) checkIdle(c *Core) {
	plain := false
	c.queue.each(func(t *Ticket) { plain = plain || !t.Request.Alone })
	if !plain || c.drained {
		return
	}
	for _, r := range c.ledger.order {
		if r.isReady() && !r.uncertain && !r.alone && r.reserved == 0 && r.freeSlots() > 0 {
			w.fail("a ticket waits beside a free slot of %s", r.group.ID)
		}
	}
}

// reorderWindow bounds how far a message overtakes others.
const maxReorder = 12

// actions are the steps of the fuzz test.
func (w *simulation) actions() map[string]func(pick) {
	entry := func(p pick) *fuzzEntry { return w.entries[p(len(w.entries))] }
	return map[string]func(pick){
		"acquire": func(p pick) {
			wait := time.Duration(p(4)) * 2 * time.Second
			w.acquire(entry(p), p(3), p(2), wait, p(10) == 0)
		},
		"acquireMore": func(p pick) { w.acquire(entry(p), 0, 0, 20*time.Second, false) },
		"deliver":     func(p pick) { w.deliverOrDrop(p, true) },
		"deliverMore": func(p pick) {
			for range 8 {
				w.deliverOrDrop(p, true)
			}
		},
		"drop": func(p pick) { w.deliverOrDrop(p, false) },
		"write": func(pick) {
			for _, e := range w.entries {
				for _, g := range e.grants {
					w.startRequest(e, g)
				}
			}
		},
		"finish": func(p pick) {
			if e := entry(p); e.isRunning() && len(e.grants) > 0 {
				w.finishRequest(e, p(len(e.grants)), 1+p(2))
			}
		},
		"tick": func(p pick) { w.expireAndReport(entry(p)) },
		"tickAll": func(pick) {
			for _, e := range w.entries {
				w.expireAndReport(e)
			}
		},
		"time":     func(p pick) { w.advanceTime(time.Duration(1+p(20)) * 50 * time.Millisecond) },
		"longTime": func(p pick) { w.advanceTime(time.Duration(1+p(8)) * time.Second) },
		"handOver": func(p pick) { w.handOver(entry(p)) },
		"freeze":   func(p pick) { e := entry(p); e.frozen = p(2) == 0 },
		"thaw":     func(p pick) { entry(p).frozen = false },
		"cut":      func(p pick) { e := entry(p); e.cut = p(3) == 0 },
		"kill": func(p pick) {
			if e := entry(p); p(3) == 0 {
				w.kill(e)
			}
		},
		"restart": func(p pick) { w.restart(entry(p)) },
		"group":   func(p pick) { w.changeGroup(p) },
	}
}

func (w *simulation) deliverOrDrop(p pick, deliver bool) {
	if len(w.inFlight) == 0 {
		return
	}
	i := p(min(len(w.inFlight), maxReorder))
	m := w.inFlight[i]
	w.inFlight = append(w.inFlight[:i:i], w.inFlight[i+1:]...)
	if deliver {
		m.deliver()
	}
}

func (w *simulation) advanceTime(d time.Duration) {
	w.now = w.now.Add(d)
	w.renewAll()
	w.replaceOwner()
	for _, e := range w.entries {
		w.advance(e)
	}
}

// replaceOwner hands the shard over once the owner's lease has run out.
func (w *simulation) replaceOwner() {
	if o := w.entryOf(w.view.Shards[0].Owner); w.now.Before(o.lease) {
		return
	}
	for _, e := range w.entries {
		if w.now.Before(e.lease) {
			w.handOver(e)
			return
		}
	}
}

// handOver leases the shard to another live entry under a new epoch.
func (w *simulation) handOver(e *fuzzEntry) {
	if !w.now.Before(e.lease) {
		return
	}
	w.view.Shards = []api.ShardLease{{Shard: testShard, Owner: e.info.ID, Epoch: w.view.Revision + 1}}
	w.publish()
	w.renewAll()
}

// kill ends a process; its connections to the engines close.
func (w *simulation) kill(e *fuzzEntry) {
	e.alive, e.core, e.grants = false, nil, nil
	for key, user := range w.runningOn {
		if user == e {
			delete(w.running, key)
		}
	}
	e.held = NewHeldGrants()
}

func (w *simulation) restart(e *fuzzEntry) {
	if e.alive {
		return
	}
	e.alive, e.frozen = true, false
	e.info.Incarnation++
	e.view = api.View{}
	w.publish()
	w.renewAll()
	w.applyView(e)
}

// changeGroup makes a replica cold, warm, broken, leaving or staying, or ready
// at a new generation.
func (w *simulation) changeGroup(p pick) {
	g := &w.view.Groups[p(len(w.view.Groups))]
	switch p(5) {
	case 0:
		g.Warm, g.BearableLoad = false, p(2)
	case 1:
		g.Warm, g.BearableLoad = true, fuzzWarmLoad
	case 2:
		g.Phase = api.GroupBroken
	case 3:
		if g.Phase == api.GroupBroken {
			g.Fencing++
			g.Phase = api.GroupReady
		}
	case 4:
		g.Leaving = !g.Leaving
	}
	w.publish()
}

// drain lets every deadline pass and reports tickets without a decision.
func (w *simulation) drain() {
	for range 3 {
		for _, e := range w.entries {
			e.frozen = false
		}
		w.advanceTime(time.Minute)
	}
	for _, e := range w.entries {
		if e.core != nil && len(w.undecided[e.core]) > 0 {
			w.fail("%d tickets were never decided", len(w.undecided[e.core]))
		}
	}
}

func TestShardFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimulation(noFault)
		steps := map[string]func(*rapid.T){}
		for name, action := range w.actions() {
			steps[name] = func(rt *rapid.T) {
				action(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") })
			}
		}
		steps[""] = func(rt *rapid.T) {
			if w.violation != nil {
				rt.Fatal(w.violation)
			}
		}
		rt.Repeat(steps)
		w.drain()
		if w.violation != nil {
			rt.Fatal(w.violation)
		}
	})
}

// weights are the parts of the steps in a walk.
var weights = map[string]int{
	"acquire": 30, "acquireMore": 30, "deliver": 16, "deliverMore": 60, "drop": 2, "write": 40, "finish": 40,
	"tickAll": 24, "tick": 2, "time": 24, "longTime": 1, "handOver": 2, "freeze": 2, "thaw": 4, "cut": 2, "kill": 2,
	"restart": 6, "group": 2,
}

// stepNames lists every step as often as it weighs.
func stepNames() []string {
	var names []string
	for name, weight := range weights {
		for range weight {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// explore runs random steps with one rule switched off, and returns the first
// violation that the checker reports.
func explore(f fault, runs, steps int) error {
	names := stepNames()
	for seed := range runs {
		rng := rand.New(rand.NewPCG(uint64(seed), 7))
		w := newSimulation(f)
		actions := w.actions()
		for range steps {
			actions[names[rng.IntN(len(names))]](rng.IntN)
		}
		w.drain()
		if w.violation != nil {
			return w.violation
		}
	}
	return nil
}

func TestCheckerCatchesBrokenRules(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault fault
	}{
		{"owner grants before the reports", faultNoHandover},
		{"second settlement frees a slot", faultDoubleSettle},
		{"grant of a reported epoch is used", faultLateGrant},
		{"grant is not rechecked before the write", faultNoRecheck},
		{"order of arrival", faultArrivalOrder},
		{"decision is lost", faultLostTicket},
		{"cold replica is taken for warm", faultIgnoreCold},
		{"broken replica is taken for ready", faultIgnorePhase},
		{"leaving replica is taken for staying", faultIgnoreLeaving},
		{"unreported grants are left out", faultLowBound},
		{"finished with grants in use", faultIgnoreNotLive},
		{"credit without end", faultEndlessCredit},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Error(t, explore(tc.fault, 300, 1000))
		})
	}
}

// TestLongWalks runs more steps for each case than rapid draws; the number of
// walks is that of rapid's cases.
func TestLongWalks(t *testing.T) {
	walks, err := strconv.Atoi(flag.Lookup("rapid.checks").Value.String())
	require.NoError(t, err)
	require.NoError(t, explore(noFault, walks, 1000))
}
