package group_test

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/bench"
	"github.com/crocusway/crocusway/internal/group"
)

// checker compares the replicated state, the memberships that hosts hold and the
// committed changes. It keeps the first violation.
type checker struct {
	model  *bench.FleetModel
	store  *bench.FleetStore
	policy group.Policy
	err    error

	partialSince map[api.Fencing]time.Time
	loadStarts   []loadStart
	loads        map[loadKey]int
	// lateLoads counts the loads that late orders started.
	lateLoads map[api.HostID]int
	leaders   int
	// decidedOn are the incarnations that the leader saw when it decided on the
	// order that is being delivered; nil when that is not known.
	decidedOn incarnations
}

// incarnations holds the incarnation of each host in one view.
type incarnations map[api.HostID]api.Incarnation

func incarnationsIn(v api.FleetView) incarnations {
	out := make(incarnations, len(v.Hosts))
	for i := range v.Hosts {
		out[v.Hosts[i].Announcement.Host] = v.Hosts[i].Announcement.Incarnation
	}
	return out
}

type loadStart struct {
	at    time.Time
	bytes float64
}

type loadKey struct {
	host    api.HostID
	fencing api.Fencing
}

func newChecker(m *bench.FleetModel, s *bench.FleetStore, p group.Policy) *checker {
	c := &checker{
		model: m, store: s, policy: p, leaders: 1,
		partialSince: make(map[api.Fencing]time.Time), loads: make(map[loadKey]int),
		lateLoads: make(map[api.HostID]int),
	}
	s.OnChange = c.checkChange
	m.OnLoad = c.checkLoad
	return c
}

func (c *checker) fail(format string, args ...any) {
	if c.err == nil {
		c.err = errors.Newf(format, args...)
	}
}

// observe checks the state between two steps.
func (c *checker) observe() {
	c.checkOneGroup()
	c.checkReadyGroups()
}

// checkOneGroup checks that no host holds a membership that the log does not assign
// to it.
func (c *checker) checkOneGroup() {
	for _, h := range c.model.Hosts {
		if !h.Up || h.Group == "" {
			continue
		}
		a := c.store.Assignment(h.ID)
		switch {
		case a == nil:
			c.fail("two groups: host %s is free but holds a membership of %s", h.ID, h.Group)
		case a.Group != h.Group:
			c.fail("two groups: host %s is assigned to %s but holds a membership of %s", h.ID, a.Group, h.Group)
		}
	}
}

// checkReadyGroups checks that no group with a missing member stays ready beyond the
// bound.
func (c *checker) checkReadyGroups() {
	now := c.model.Clock.Now()
	bound := c.policy.DetectionBound + c.model.Times.Announce + 2*tick
	for _, g := range c.store.Groups() {
		if g.Phase != api.GroupReady || c.serves(&g) {
			delete(c.partialSince, g.Fencing)
			continue
		}
		since, ok := c.partialSince[g.Fencing]
		if !ok {
			c.partialSince[g.Fencing] = now
			continue
		}
		if now.Sub(since) > bound {
			c.fail("partial group: %s ready for %s without all members", g.ID, now.Sub(since))
		}
	}
}

func (c *checker) serves(g *api.Group) bool {
	for _, id := range g.Members {
		h := c.model.Host(id)
		if h.Group != g.ID || h.Fencing != g.Fencing || !h.Serves(c.model.Clock.Now()) {
			return false
		}
	}
	return true
}

// checkChange checks a change before it is committed.
func (c *checker) checkChange(ch api.GroupChange) {
	old := c.store.Group(ch.Group.ID)
	switch ch.Kind {
	case api.GroupForm:
		c.checkFabric(&ch.Group)
		c.checkBudget(&ch.Group)
	case api.GroupReform:
		c.checkFabric(&ch.Group)
		c.checkBudget(&ch.Group)
		c.checkRelease(old, false)
	case api.GroupRelease:
		c.checkRelease(old, true)
	case api.GroupSetPhase:
		if ch.Group.Phase == api.GroupBroken && old.Phase == api.GroupReady && c.allAnnounced(old) {
			c.fail("early release: %s marked broken while every member announces itself", old.ID)
		}
	case api.GroupUpdate, api.GroupFree:
	}
}

func (c *checker) checkFabric(g *api.Group) {
	for _, id := range g.Members {
		h := c.model.Host(id)
		if h.Fabric != g.Fabric || h.Domain != g.Domain {
			c.fail("fabric: host %s of %s joins %s in %s", id, h.Fabric, g.ID, g.Fabric)
		}
		if c.drained(g.Domain) {
			c.fail("drained: %s gets members in drained %s", g.ID, g.Domain)
		}
	}
}

func (c *checker) drained(d api.FailureDomain) bool {
	for _, s := range c.store.Domains {
		if s.Name == d {
			return s.State == api.DomainDrained
		}
	}
	return false
}

// checkRelease checks that a ready group is released or reformed only if its domain is
// drained, a member is leaving or, where surplusAllowed, more groups are ready than
// wanted.
func (c *checker) checkRelease(g *api.Group, surplusAllowed bool) {
	if g.Phase != api.GroupReady || c.drained(g.Domain) || c.hasLeaving(g) {
		return
	}
	wanted, ready := 0, 0
	for _, sg := range c.store.ServingGroups {
		if sg.Name == g.ServingGroup {
			wanted = sg.Replicas
		}
	}
	for _, other := range c.store.Groups() {
		if other.ServingGroup == g.ServingGroup && other.Phase == api.GroupReady {
			ready++
		}
	}
	if !surplusAllowed || ready <= wanted {
		c.fail("early release: ready group %s ended, %d ready of %d wanted", g.ID, ready, wanted)
	}
}

// hasLeaving reports whether a member announced that it leaves.
func (c *checker) hasLeaving(g *api.Group) bool {
	for _, s := range c.model.View().Hosts {
		if s.Announcement.Leaving && slices.Contains(g.Members, s.Announcement.Host) {
			return true
		}
	}
	return false
}

func (c *checker) allAnnounced(g *api.Group) bool {
	for _, s := range c.model.View().Hosts {
		a := &s.Announcement
		if a.Group == g.ID && a.Fencing == g.Fencing && a.Load == api.LoadReady && s.Alive {
			continue
		}
		if slices.Contains(g.Members, a.Host) {
			return false
		}
	}
	return true
}

// checkBudget checks that in every window the bytes of started loads stay within
// burst and rate.
func (c *checker) checkBudget(g *api.Group) {
	if c.policy.LoadRate <= 0 {
		return
	}
	bytes := 0.0
	for _, sg := range c.store.ServingGroups {
		if sg.Name == g.ServingGroup {
			bytes = float64(sg.LoadBytes) * float64(len(g.Members))
		}
	}
	now := c.model.Clock.Now()
	c.loadStarts = append(c.loadStarts, loadStart{at: now, bytes: bytes})
	sum := 0.0
	for i := len(c.loadStarts) - 1; i >= 0; i-- {
		sum += c.loadStarts[i].bytes
		allowed := float64(c.policy.LoadBurst) + float64(c.policy.LoadRate)*now.Sub(c.loadStarts[i].at).Seconds()
		if sum > allowed+1 {
			c.fail("budget: %.0f bytes started in %s, %.0f allowed", sum, now.Sub(c.loadStarts[i].at), allowed)
			return
		}
	}
}

// checkLoad checks that a host loads once for each generation that the budget
// admitted. Each change of leader may repeat the loads in progress. A late order to a
// host that does not check fencing starts an obsolete load, after which the load of
// the current generation starts again. To such a host, an order decided before the
// leader learned of its restart repeats the load of the current generation.
func (c *checker) checkLoad(h *bench.FleetHost, o api.Order) {
	a := c.store.Assignment(h.ID)
	if !h.ChecksFencing && (a == nil || a.Releasing || a.Fencing != o.Fencing) {
		c.lateLoads[h.ID]++
		return
	}
	key := loadKey{host: h.ID, fencing: o.Fencing}
	if !h.ChecksFencing && c.loads[key] > 0 && c.restartedSince(h) {
		return
	}
	c.loads[key]++
	if c.policy.LoadRate > 0 && c.loads[key] > c.leaders+c.lateLoads[h.ID] {
		c.fail("budget: host %s loads %d times at %d", h.ID, c.loads[key], o.Fencing)
	}
}

// restartedSince reports whether the host restarted after the view on which the order
// was decided.
func (c *checker) restartedSince(h *bench.FleetHost) bool {
	decided, ok := c.decidedOn[h.ID]
	return ok && decided < h.Incarnation
}
