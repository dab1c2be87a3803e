package group

import (
	"slices"
	"strings"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// Reason tells why a plan makes a change.
type Reason string

// Reasons of changes.
const (
	ReasonWhole    Reason = "every member is ready"
	ReasonLost     Reason = "a member was lost"
	ReasonReturned Reason = "every member returned"
	ReasonUpdate   Reason = "attributes of the group changed"
	ReasonProven   Reason = "the end of the membership is proven"
	ReasonForm     Reason = "a replica is missing"
	ReasonRepair   Reason = "lost members are replaced"
	ReasonMerge    Reason = "survivors complete another group"
	ReasonHopeless Reason = "the group cannot be repaired"
	ReasonSurplus  Reason = "more replicas than wanted"
	ReasonRetired  Reason = "the configuration no longer wants the group"
)

// Change is one planned change of groups or assignments.
type Change struct {
	api.GroupChange
	Reason Reason
	// Bytes is the size of the weights that the change makes hosts load.
	Bytes int64
}

// Directive is one order with the address that it goes to.
type Directive struct {
	Address string
	Order   api.Order
}

// Plan is the outcome of one evaluation: changes in the order to apply them,
// and the orders that the view already calls for.
type Plan struct {
	Changes []Change
	Orders  []Directive
}

// Decide evaluates a view. It is deterministic and changes none of its
// arguments; Memory.Observe must have seen the view at the same moment.
func Decide(v api.FleetView, m *Memory, p Policy, now time.Time) Plan {
	pl := newPlanner(newIndex(&v, m, &p, now))
	pl.setPhases()
	pl.freeHosts()
	pl.planRepairs()
	pl.trim()
	pl.planForms()
	pl.startLoads()
	pl.planOrders()
	return pl.plan
}

// planner is one evaluation in progress.
type planner struct {
	*index
	plan Plan
	// jobs are feasible loads, which the budget then admits in order.
	jobs []job
	// repairs are the broken groups past their wait, by urgency.
	repairs []*repair
	// counted is the number of replicas that need no replacement.
	counted map[*servingGroup]int
	// ready is the number of replicas that serve after this plan.
	ready map[*servingGroup]int
	// touched groups get no further change in this plan.
	touched map[api.GroupID]bool
	formed  int
}

func newPlanner(x *index) *planner {
	return &planner{
		index:   x,
		counted: make(map[*servingGroup]int, len(x.sgs)),
		ready:   make(map[*servingGroup]int, len(x.sgs)),
		touched: make(map[api.GroupID]bool),
	}
}

func (pl *planner) change(c api.GroupChange, reason Reason) {
	pl.plan.Changes = append(pl.plan.Changes, Change{GroupChange: c, Reason: reason})
}

func (pl *planner) setPhase(r *replica, phase api.GroupPhase, reason Reason) {
	g := *r.Group
	g.Phase = phase
	pl.change(api.GroupChange{Kind: api.GroupSetPhase, Fencing: r.Fencing, Group: g}, reason)
	pl.touched[r.ID] = true
}

func (pl *planner) release(r *replica, reason Reason) {
	if pl.touched[r.ID] {
		return
	}
	pl.change(api.GroupChange{Kind: api.GroupRelease, Fencing: r.Fencing, Group: *r.Group}, reason)
	pl.touched[r.ID] = true
}

// setPhases brings the phase and the attributes of each group in line with
// what its members announce.
func (pl *planner) setPhases() {
	for _, sg := range pl.sgs {
		for _, r := range sg.replicas {
			if r.Phase == api.GroupReady && !r.retired && r.leaving == 0 && pl.whole(r) {
				pl.ready[sg]++
			}
		}
	}
	for _, r := range pl.replicas {
		switch r.Phase {
		case api.GroupLoading:
			pl.watchLoad(r)
		case api.GroupReady:
			pl.watchReady(r)
		case api.GroupBroken:
			pl.watchBroken(r)
		case api.GroupReleasing:
		}
	}
}

// whole reports whether nothing speaks against a ready group.
func (pl *planner) whole(r *replica) bool {
	return r.count[memberReady]+r.count[memberUnknown] == len(r.Members)
}

func (pl *planner) watchLoad(r *replica) {
	switch {
	case r.count[memberReady] == len(r.Members):
		pl.makeReady(r, ReasonWhole)
	case r.count[memberDead] > 0 || pl.overdue(r) || pl.restarted(r):
		pl.setPhase(r, api.GroupBroken, ReasonLost)
	}
}

func (pl *planner) watchReady(r *replica) {
	if !pl.whole(r) {
		pl.setPhase(r, api.GroupBroken, ReasonLost)
		return
	}
	pl.update(r)
}

func (pl *planner) watchBroken(r *replica) {
	switch {
	case r.count[memberReady] == len(r.Members):
		if r.sg != nil && (r.retired || pl.ready[r.sg] < r.sg.Replicas) {
			pl.makeReady(r, ReasonReturned)
		}
	case r.count[memberReady]+r.count[memberLoading] == len(r.Members) && !pl.overdue(r):
		pl.setPhase(r, api.GroupLoading, ReasonReturned)
	}
}

func (pl *planner) makeReady(r *replica, reason Reason) {
	pl.update(r)
	pl.setPhase(r, api.GroupReady, reason)
	if r.sg != nil && !r.retired && r.leaving == 0 {
		pl.ready[r.sg]++
	}
}

// update records what rank 0 announces of the whole group.
func (pl *planner) update(r *replica) {
	h := r.mem.members[0]
	if h.status == nil || r.states[0] != memberReady {
		return
	}
	a := &h.status.Announcement
	g := *r.Group
	g.Address, g.Warm = a.Address, a.Warm
	g.BearableLoad, g.WarmLoad = a.BearableLoad, a.WarmLoad
	g.Capabilities = a.Capabilities
	g.Leaving = r.leaving > 0
	if sameAttributes(&g, r.Group) {
		return
	}
	pl.change(api.GroupChange{Kind: api.GroupUpdate, Fencing: r.Fencing, Group: g}, ReasonUpdate)
}

func sameAttributes(a, b *api.Group) bool {
	return a.Address == b.Address && a.Warm == b.Warm && a.BearableLoad == b.BearableLoad &&
		a.WarmLoad == b.WarmLoad && a.Leaving == b.Leaving && a.Capabilities == b.Capabilities
}

// minStragglerLimit is the least time that a member gets to load.
const minStragglerLimit = 30 * time.Second

// overdue reports whether members load for longer than the limit.
func (pl *planner) overdue(r *replica) bool {
	if r.count[memberReady] == len(r.Members) {
		return false
	}
	limit := pl.policy.LoadTimeout
	usual := pl.mem.loadTime[r.ServingGroup]
	if usual > 0 && pl.policy.StragglerFactor > 0 {
		straggling := time.Duration(float64(usual) * pl.policy.StragglerFactor)
		limit = min(limit, max(straggling, minStragglerLimit))
	}
	return limit > 0 && pl.now.Sub(r.mem.loadSince) > limit
}

// maxRefusals is the number of refusals of one assign order after which the
// group needs a new generation.
const maxRefusals = 3

// restarted reports whether a member no longer holds this generation, started
// anew since it may have accepted it, or refuses it.
func (pl *planner) restarted(r *replica) bool {
	for rank, state := range r.states {
		if state == memberBehind && pl.lostMembership(r, rank) {
			return true
		}
	}
	return false
}

func (pl *planner) lostMembership(r *replica, rank int) bool {
	if r.mem.held[rank] {
		return true
	}
	h := r.mem.members[rank]
	o := &h.order
	if o.kind != api.OrderAssign || o.fencing != r.Fencing {
		return false
	}
	return o.refused >= maxRefusals || o.incarnation != 0 && h.incarnation > o.incarnation
}

// freeHosts ends the assignments whose release is proven.
func (pl *planner) freeHosts() {
	for i := range pl.view.Assignments {
		a := &pl.view.Assignments[i]
		if !a.Releasing || !pl.released(a) {
			continue
		}
		c := api.GroupChange{Kind: api.GroupFree, Fencing: a.Fencing, Host: a.Host}
		c.Group.ID = a.Group
		pl.change(c, ReasonProven)
	}
}

// byName orders replicas by their identifier.
func byName(a, b *replica) int { return strings.Compare(string(a.ID), string(b.ID)) }

// survivors is the number of members that another group could use.
func (pl *planner) survivors(r *replica) int {
	n := 0
	for _, h := range r.mem.members {
		if pl.usable(h) {
			n++
		}
	}
	return n
}

// take removes the first n hosts from a free list.
func (f *fabric) take(n int) []api.HostID {
	taken := slices.Clone(f.free[:n])
	f.free = f.free[n:]
	return taken
}
