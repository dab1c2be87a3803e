package group_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/crocusway/crocusway/internal/api"
)

// smallFleet is a fleet with replicas of three hosts.
func smallFleet(t *testing.T) *sharedFleet {
	t.Helper()
	w := newSharedFleet(t, nil)
	w.publish(2, api.EngineModel{Name: "small", Hosts: 3, Share: 1})
	return w
}

// addStaged adds hosts that hold the weights of the small model.
func (w *sharedFleet) addStaged(n int) {
	first := len(w.engines)
	w.add("a0", "a", n)
	for _, e := range w.engines[first:] {
		e.staged = "small"
	}
}

// TestOldAnnouncementIsNoProofToNewLeader guards against a new leader that takes an announcement
// from before the join for the newest one, ends a sound replica and gives the member to another.
func TestOldAnnouncementIsNoProofToNewLeader(t *testing.T) {
	for name, c := range map[string]struct {
		headCut bool
		// newest is when the newest announcement of the member arrives.
		newest time.Duration
	}{
		"sound replica":        {false, time.Second},
		"newer one comes late": {false, 2 * time.Second},
		"head out of reach":    {true, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			w := smallFleet(t)
			w.add("a0", "a", 3)
			w.run(sharedTick)
			old := make([]api.Announcement, 0, len(w.engines))
			for _, e := range w.engines {
				old = append(old, e.announced)
			}
			w.run(2 * engineLoadTime)
			w.traffic()
			head := w.memberOf("small", 0)
			require.NotNil(t, head)
			w.addStaged(2)
			w.run(2 * engineAnnounceInterval)
			before := head.fencing
			late := w.byID[head.members[1]]
			w.announceLate = func(e *engine) time.Duration {
				if e == late {
					return c.newest
				}
				return 0
			}
			head.cut = c.headCut
			w.lead(nil)
			for _, a := range old {
				if a.Host == late.id {
					a.Staged = "small"
					w.receive(a)
				}
			}
			w.run(engineStallTimeout + time.Second)
			requireNoViolation(t, w)
			if !c.headCut {
				require.Equal(t, before, head.fencing, "the replica goes on")
			}
			w.announceLate, head.cut = nil, false
			w.run(2 * engineLoadTime)
			requireNoViolation(t, w)
			require.Equal(t, 1, w.serving("small"))
		})
	}
}

// lateJoins loses the answers to the first orders with which each member but the head joins, and
// keeps the orders.
func (w *sharedFleet) lateJoins(each int) *[]api.Order {
	late := new([]api.Order)
	seen := make(map[api.HostID]int)
	w.deliveryOf = func(o api.Order) delivery {
		if o.Kind != api.OrderAssign || o.Host == o.Members[0] || seen[o.Host] == each {
			return deliveryOK
		}
		seen[o.Host]++
		*late = append(*late, o)
		return deliveryLost
	}
	return late
}

// TestLateJoinAfterLeave guards against members that have left their replica, are brought back by
// unanswered orders to join it, and join another one while its head serves.
func TestLateJoinAfterLeave(t *testing.T) {
	for name, c := range map[string]struct {
		each, members int
		event         func(w *sharedFleet)
	}{
		"both members":               {1, 2, nil},
		"one member":                 {1, 1, nil},
		"three orders each":          {3, 2, nil},
		"the leader stands still":    {1, 2, func(w *sharedFleet) { w.pausedUntil = w.clock.Now().Add(2 * time.Second) }},
		"another leader":             {1, 2, func(w *sharedFleet) { w.lead(nil) }},
		"late announcements as well": {2, 2, func(w *sharedFleet) { w.announceLate = func(*engine) time.Duration { return time.Second } }},
	} {
		for _, after := range []time.Duration{0, sharedTick, 5 * sharedTick, 20 * sharedTick, 35 * sharedTick} {
			t.Run(name+" "+after.String(), func(t *testing.T) {
				w := smallFleet(t)
				w.addStaged(3)
				late := w.lateJoins(c.each)
				w.run(5 * time.Second)
				w.deliveryOf = nil
				w.traffic()
				head := w.memberOf("small", 0)
				require.NotNil(t, head)
				require.Len(t, *late, 2*c.each)
				w.addStaged(1)
				w.run(2 * engineAnnounceInterval)
				head.cut = true
				for w.byID[head.members[1]].group != "" || w.byID[head.members[2]].group != "" {
					w.run(sharedTick)
				}
				if c.event != nil {
					c.event(w)
				}
				w.run(after)
				for _, o := range *late {
					if o.Host == head.members[1] || c.members == 2 {
						_, err := w.deliver(o)
						require.NoError(t, err)
						w.run(2 * sharedTick)
					}
				}
				w.run(engineStallTimeout + time.Second)
				requireNoViolation(t, w)
				head.cut, w.announceLate = false, nil
				w.run(2 * engineLoadTime)
				requireNoViolation(t, w)
				require.Equal(t, 1, w.serving("small"))
				require.Empty(t, w.idle(), "every host is of use again")
			})
		}
	}
}

// TestMembersReturnAfterUnansweredJoins guards against hosts that are kept out of use for good, as
// an order to join was never answered nor carried out.
func TestMembersReturnAfterUnansweredJoins(t *testing.T) {
	lateness := sharedPolicy().OrderLateness
	for name, c := range map[string]struct {
		each  int
		event func(w *sharedFleet, head *engine)
		bound time.Duration
	}{
		"the head returns":           {2, func(w *sharedFleet, head *engine) { w.run(9 * time.Second); head.cut = false }, 3 * time.Second},
		"the head starts again":      {2, func(w *sharedFleet, head *engine) { w.run(time.Second); w.restart(head) }, 3 * time.Second},
		"the head is lost":           {2, func(w *sharedFleet, head *engine) { w.kill(head) }, lateness + 5*time.Second},
		"another leader, head lost":  {2, func(w *sharedFleet, head *engine) { w.kill(head); w.lead(nil) }, 6 * time.Second},
		"all answered, head is lost": {0, func(w *sharedFleet, head *engine) { w.kill(head) }, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			w := smallFleet(t)
			w.add("a0", "a", 3)
			w.lateJoins(c.each)
			w.run(2 * engineLoadTime)
			w.deliveryOf = nil
			w.traffic()
			head := w.memberOf("small", 0)
			require.NotNil(t, head)
			w.addStaged(1)
			w.run(2 * engineAnnounceInterval)
			head.cut = true
			for w.byID[head.members[1]].group != "" || w.byID[head.members[2]].group != "" {
				w.run(sharedTick)
			}
			c.event(w, head)
			began := w.clock.Now()
			for w.serving("small") == 0 && w.clock.Now().Sub(began) < c.bound {
				w.run(sharedTick)
			}
			require.Equal(t, 1, w.serving("small"), w.history())
			requireNoViolation(t, w)
		})
	}
}

// TestHostThatNeverAnswersIsOfUse guards against a survivor that is kept out of use, as it carries out
// its orders and never answers in time.
func TestHostThatNeverAnswersIsOfUse(t *testing.T) {
	for name, c := range map[string]struct {
		rank  int
		event func(w *sharedFleet)
	}{
		"head":                   {0, nil},
		"member":                 {1, nil},
		"head, another leader":   {0, func(w *sharedFleet) { w.lead(nil) }},
		"member, another leader": {1, func(w *sharedFleet) { w.lead(nil) }},
	} {
		t.Run(name, func(t *testing.T) {
			w := smallFleet(t)
			w.add("a0", "a", 3)
			w.deliveryOf = func(o api.Order) delivery {
				if r := c.rank; o.Host == w.engines[r].id {
					return deliveryAnswerLost
				}
				return deliveryOK
			}
			w.run(2 * engineLoadTime)
			w.traffic()
			head := w.memberOf("small", 0)
			require.NotNil(t, head)
			w.kill(w.byID[head.members[2]])
			w.addStaged(1)
			if c.event != nil {
				c.event(w)
			}
			began := w.clock.Now()
			w.run(engineStallTimeout + engineAnnounceInterval)
			for w.serving("small") == 0 && w.clock.Now().Sub(began) < sharedPolicy().OrderLateness+10*time.Second {
				w.run(sharedTick)
			}
			require.Equal(t, 1, w.serving("small"), w.history())
			requireNoViolation(t, w)
		})
	}
}

// idle are the hosts that could complete a replica, but are in none.
func (w *sharedFleet) idle() []api.HostID {
	var out []api.HostID
	for _, e := range w.engines {
		if e.up && !e.cut && e.group == "" {
			out = append(out, e.id)
		}
	}
	if len(out) < 3 {
		return nil
	}
	return out
}

// TestSharedFleetHoldsUnderLateMessages plays late, lost and repeated orders, late announcements,
// restarts, partitions, leaders that stand still and changes of the leader in random orders.
func TestSharedFleetHoldsUnderLateMessages(t *testing.T) {
	rapid.Check(t, lateMessages)
}

func lateMessages(rt *rapid.T) {
	w := newSharedFleet(rt, nil)
	w.add("a0", "a", 9)
	w.add("b0", "b", 7)
	lossy := rapid.Bool().Draw(rt, "lossy")
	w.deliveryOf = func(api.Order) delivery {
		if !lossy {
			return deliveryOK
		}
		return rapid.SampledFrom([]delivery{deliveryOK, deliveryOK, deliveryOK, deliveryLost, deliveryAnswerLost, deliveryLate, deliveryLate}).Draw(rt, "delivery")
	}
	w.lateBy = func() time.Duration {
		return time.Duration(rapid.IntRange(2, 120).Draw(rt, "late")) * sharedTick
	}
	w.announceLate = func(*engine) time.Duration {
		return max(0, time.Duration(rapid.IntRange(-120, 40).Draw(rt, "announced"))*sharedTick)
	}
	w.run(2 * engineLoadTime)
	w.traffic()
	for range rapid.IntRange(5, 25).Draw(rt, "events") {
		lossy = rapid.IntRange(0, 2).Draw(rt, "lossy") > 0
		e := rapid.SampledFrom(w.engines).Draw(rt, "host")
		if rapid.Bool().Draw(rt, "member") {
			model := rapid.SampledFrom([]string{"small", "big"}).Draw(rt, "model")
			if m := w.memberOf(model, rapid.IntRange(0, 2).Draw(rt, "rank")); m != nil {
				e = m
			}
		}
		event := rapid.IntRange(0, 7).Draw(rt, "event")
		w.record("event %d at %s", event, e.id)
		switch event {
		case 0:
			w.kill(e)
		case 1:
			w.restart(e)
		case 2, 3:
			e.cut = !e.cut
		case 4:
			w.lead(nil)
		case 5:
			w.pausedUntil = w.clock.Now().Add(time.Duration(rapid.IntRange(1, 60).Draw(rt, "stands still")) * sharedTick)
		case 6:
			e.leaving = true
		default:
		}
		w.run(time.Duration(rapid.IntRange(1, 40).Draw(rt, "pause")) * sharedTick)
		if w.violation != nil {
			rt.Fatalf("%v\n%s", w.violation, w.history())
		}
	}
	w.deliveryOf, w.announceLate = nil, nil
	for _, e := range w.engines {
		e.cut = false
		if !e.up || e.leaving {
			w.restart(e)
		}
	}
	w.run(7 * engineLoadTime)
	if w.violation != nil {
		rt.Fatalf("%v\n%s", w.violation, w.history())
	}
	require.GreaterOrEqual(rt, w.serving("big")*4+w.serving("small")*3, 9, "hosts in replicas that serve")
}
