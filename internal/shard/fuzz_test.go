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

// waiting returns the tickets in the queue of a core.
func (s *simulation) waiting(c *Core) map[uint64]*Ticket {
	out := map[uint64]*Ticket{}
	c.queue.each(func(t *Ticket) { out[t.ID] = s.undecided[c][t.ID] })
	return out
}

// recordDecisions checks that each ticket is decided exactly once, and sends
// the grants.
func (s *simulation) recordDecisions(c *Core, out []Decision, o *fuzzEntry) {
	for i, d := range out {
		t := s.undecided[c][d.Ticket]
		if t == nil {
			s.fail("ticket %d was decided twice", d.Ticket)
			continue
		}
		if s.fault == faultLostTicket && i > 0 {
			continue
		}
		delete(s.undecided[c], d.Ticket)
		if d.Err != nil {
			continue
		}
		if o == nil {
			s.fail("grant without a lease")
			continue
		}
		s.checkGrant(o, d.Grant)
		s.sendGrant(d.Grant, t)
	}
}

// checkGrant checks that a new grant exceeds no limit, by the requests that run
// on the replica.
func (s *simulation) checkGrant(o *fuzzEntry, g api.Grant) {
	if !o.allows(g) {
		s.fail("grant %s is for replica %s at generation %d, which is not available in the owner's view", g.ID, g.Group, g.Fencing)
	}
	limit := s.maxRequests(o, g.Group)
	if n := s.countRunning(g.Group, g.Fencing) + 1; n > limit {
		s.fail("grant %s makes %d requests on %s, limit %d", g.ID, n, g.Group, limit)
	}
}

// allows reports whether the replica of a grant is available in the view of an
// owner: ready at the generation of the grant and not leaving.
func (e *fuzzEntry) allows(g api.Grant) bool {
	for _, known := range e.view.Groups {
		if known.ID == g.Group {
			return known.Phase == api.GroupReady && !known.Leaving && known.Fencing == g.Fencing
		}
	}
	return false
}

// maxRequests returns the largest number of requests that the view of an owner
// allows on a replica: for a cold one the announced load or, without one, one
// more than its completed requests up to fuzzWarmLoad.
func (s *simulation) maxRequests(o *fuzzEntry, id api.GroupID) int {
	for _, g := range o.view.Groups {
		switch {
		case g.ID != id || g.Warm:
		case g.BearableLoad > 0:
			return g.BearableLoad
		default:
			return min(fuzzWarmLoad, 1+s.completed[o.core][id])
		}
	}
	return fuzzWarmLoad
}

// checkOrder reports a grant while a ticket that precedes its own is waiting.
// Tickets within the share or credit come first, then those of the higher
// class.
func (s *simulation) checkOrder(out []Decision, waiting map[uint64]*Ticket, held map[api.AccountID]int, credit *fuzzCredit) {
	for _, d := range out {
		t := waiting[d.Ticket]
		delete(waiting, d.Ticket)
		if d.Err != nil || t == nil {
			continue
		}
		for _, other := range waiting {
			if !t.Request.Alone && !other.Request.Alone && precedes(other, t, held, credit) {
				s.fail("ticket %d precedes %d, which was granted first", other.ID, t.ID)
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

// checkIdle reports a slot that is free while a ticket that need not run alone
// is waiting.
func (s *simulation) checkIdle(c *Core) {
	plain := false
	c.queue.each(func(t *Ticket) { plain = plain || !t.Request.Alone })
	if !plain || c.drained {
		return
	}
	for _, r := range c.ledger.order {
		if r.isReady() && !r.uncertain && !r.alone && r.reserved == 0 && r.freeSlots() > 0 {
			s.fail("a ticket is waiting while %s has a free slot", r.group.ID)
		}
	}
}

// maxReorder is the maximum number of oldest messages in flight among which the
// next one to deliver is chosen.
const maxReorder = 12

// actions returns the steps of the fuzz test by name.
func (s *simulation) actions() map[string]func(pick) {
	entry := func(p pick) *fuzzEntry { return s.entries[p(len(s.entries))] }
	return map[string]func(pick){
		"acquire": func(p pick) {
			wait := time.Duration(p(4)) * 2 * time.Second
			s.acquire(entry(p), p(3), p(2), wait, p(10) == 0)
		},
		"acquireMore": func(p pick) { s.acquire(entry(p), 0, 0, 20*time.Second, false) },
		"deliver":     func(p pick) { s.deliverOrDrop(p, true) },
		"deliverMore": func(p pick) {
			for range 8 {
				s.deliverOrDrop(p, true)
			}
		},
		"drop": func(p pick) { s.deliverOrDrop(p, false) },
		"write": func(pick) {
			for _, e := range s.entries {
				for _, g := range e.grants {
					s.startRequest(e, g)
				}
			}
		},
		"finish": func(p pick) {
			if e := entry(p); e.isRunning() && len(e.grants) > 0 {
				s.finishRequest(e, p(len(e.grants)), 1+p(2))
			}
		},
		"tick": func(p pick) { s.expireAndReport(entry(p)) },
		"tickAll": func(pick) {
			for _, e := range s.entries {
				s.expireAndReport(e)
			}
		},
		"time":     func(p pick) { s.advanceTime(time.Duration(1+p(20)) * 50 * time.Millisecond) },
		"longTime": func(p pick) { s.advanceTime(time.Duration(1+p(8)) * time.Second) },
		"handOver": func(p pick) { s.handOver(entry(p)) },
		"freeze":   func(p pick) { e := entry(p); e.frozen = p(2) == 0 },
		"thaw":     func(p pick) { entry(p).frozen = false },
		"cut":      func(p pick) { e := entry(p); e.cut = p(3) == 0 },
		"kill": func(p pick) {
			if e := entry(p); p(3) == 0 {
				s.kill(e)
			}
		},
		"restart": func(p pick) { s.restart(entry(p)) },
		"group":   func(p pick) { s.changeGroup(p) },
	}
}

func (s *simulation) deliverOrDrop(p pick, deliver bool) {
	if len(s.inFlight) == 0 {
		return
	}
	i := p(min(len(s.inFlight), maxReorder))
	m := s.inFlight[i]
	s.inFlight = append(s.inFlight[:i:i], s.inFlight[i+1:]...)
	if deliver {
		m.deliver()
	}
}

func (s *simulation) advanceTime(d time.Duration) {
	s.now = s.now.Add(d)
	s.renewAll()
	s.replaceOwner()
	for _, e := range s.entries {
		s.advance(e)
	}
}

// replaceOwner hands the shard over once the owner's lease has expired.
func (s *simulation) replaceOwner() {
	if o := s.entryOf(s.view.Shards[0].Owner); s.now.Before(o.lease) {
		return
	}
	for _, e := range s.entries {
		if s.now.Before(e.lease) {
			s.handOver(e)
			return
		}
	}
}

// handOver leases the shard to a live entry under a new epoch.
func (s *simulation) handOver(e *fuzzEntry) {
	if !s.now.Before(e.lease) {
		return
	}
	s.view.Shards = []api.ShardLease{{Shard: testShard, Owner: e.info.ID, Epoch: s.view.Revision + 1}}
	s.publish()
	s.renewAll()
}

// kill ends the process of an entry, which closes its connections to the
// engines.
func (s *simulation) kill(e *fuzzEntry) {
	e.alive, e.core, e.grants = false, nil, nil
	for key, user := range s.runningOn {
		if user == e {
			delete(s.running, key)
		}
	}
	e.held = NewHeldGrants()
}

func (s *simulation) restart(e *fuzzEntry) {
	if e.alive {
		return
	}
	e.alive, e.frozen = true, false
	e.info.Incarnation++
	e.view = api.View{}
	s.publish()
	s.renewAll()
	s.applyView(e)
}

// changeGroup changes a replica: cold, warm, broken, leaving or not leaving, or
// ready at a new generation.
func (s *simulation) changeGroup(p pick) {
	g := &s.view.Groups[p(len(s.view.Groups))]
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
	s.publish()
}

// drain advances the time past every deadline and reports undecided tickets.
func (s *simulation) drain() {
	for range 3 {
		for _, e := range s.entries {
			e.frozen = false
		}
		s.advanceTime(time.Minute)
	}
	for _, e := range s.entries {
		if e.core != nil && len(s.undecided[e.core]) > 0 {
			s.fail("%d tickets were never decided", len(s.undecided[e.core]))
		}
	}
}

func TestShardFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSimulation(noFault)
		steps := map[string]func(*rapid.T){}
		for name, action := range s.actions() {
			steps[name] = func(rt *rapid.T) {
				action(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") })
			}
		}
		steps[""] = func(rt *rapid.T) {
			if s.violation != nil {
				rt.Fatal(s.violation)
			}
		}
		rt.Repeat(steps)
		s.drain()
		if s.violation != nil {
			rt.Fatal(s.violation)
		}
	})
}

// weights holds the relative frequencies of the steps in a random walk.
var weights = map[string]int{
	"acquire": 30, "acquireMore": 30, "deliver": 16, "deliverMore": 60, "drop": 2, "write": 40, "finish": 40,
	"tickAll": 24, "tick": 2, "time": 24, "longTime": 1, "handOver": 2, "freeze": 2, "thaw": 4, "cut": 2, "kill": 2,
	"restart": 6, "group": 2,
}

// stepNames returns every step name as often as its weight.
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

// runRandomWalks runs random walks with an injected fault, and returns the first
// violation that the checker reports.
func runRandomWalks(f fault, runs, steps int) error {
	names := stepNames()
	for seed := range runs {
		rng := rand.New(rand.NewPCG(uint64(seed), 7))
		s := newSimulation(f)
		actions := s.actions()
		for range steps {
			actions[names[rng.IntN(len(names))]](rng.IntN)
		}
		s.drain()
		if s.violation != nil {
			return s.violation
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
		{"grant of an older term is used", faultLateGrant},
		{"grant is not rechecked before the write", faultNoRecheck},
		{"grants in order of arrival", faultArrivalOrder},
		{"decision is lost", faultLostTicket},
		{"cold replica is treated as warm", faultIgnoreCold},
		{"broken replica is treated as ready", faultIgnorePhase},
		{"leaving replica is treated as not leaving", faultIgnoreLeaving},
		{"unreported grants are not counted", faultLowBound},
		{"entry that is not live is treated as finished", faultIgnoreNotLive},
		{"credit is never used up", faultEndlessCredit},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.Error(t, runRandomWalks(tc.fault, 300, 1000))
		})
	}
}

// TestLongWalks runs more steps per case than rapid does. The number of walks
// is that of rapid's checks.
func TestLongWalks(t *testing.T) {
	walks, err := strconv.Atoi(flag.Lookup("rapid.checks").Value.String())
	require.NoError(t, err)
	require.NoError(t, runRandomWalks(noFault, walks, 1000))
}
