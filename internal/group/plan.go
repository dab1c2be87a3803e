package group

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// Reason states why a plan makes a change.
type Reason string

// Reasons of changes.
const (
	ReasonAllReady      Reason = "every member is ready"
	ReasonLost          Reason = "a member was lost"
	ReasonReturned      Reason = "every member returned"
	ReasonUpdate        Reason = "attributes of the group changed"
	ReasonReleaseProven Reason = "the membership has provably ended"
	ReasonForm          Reason = "a replica is missing"
	ReasonRepair        Reason = "lost members are replaced"
	ReasonMerge         Reason = "its survivors complete another group"
	ReasonIrreparable   Reason = "the group cannot be repaired"
	ReasonRebalance     Reason = "replicas are unevenly distributed over the failure domains"
	ReasonSurplus       Reason = "more replicas than configured"
	ReasonRetired       Reason = "the group no longer matches the configuration"
	ReasonLeaving       Reason = "a member is leaving"
	ReasonRetiring      Reason = "survivors of a larger replica need the hosts"
)

// Change is one planned change of groups or assignments.
type Change struct {
	api.GroupChange
	Reason Reason
	// Detail lists the member states that led to a release, for the log.
	Detail string
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
	// Idle describes the free, releasing and silent hosts of shared serving groups,
	// for the log; empty if there are none.
	Idle string
	// Held lists the hosts that may still be members of released shared replicas.
	Held []HeldHost
}

// Decide evaluates a view. It is deterministic and changes none of its
// arguments; Memory.Observe must have been called with the same view and time.
func Decide(v api.FleetView, m *Memory, p Policy, now time.Time) Plan {
	pl := newPlanner(newIndex(&v, m, &p, now))
	pl.setPhases()
	pl.freeHosts()
	pl.planRepairs()
	pl.trim()
	pl.planForms()
	pl.planLayouts()
	pl.rebalance()
	pl.startLoads()
	pl.planOrders()
	pl.planOpens()
	pl.plan.Held = pl.describeHeld()
	return pl.plan
}

// planner is one evaluation in progress.
type planner struct {
	*index
	plan Plan
	// jobs are the loads for which hosts are available, before the budget check.
	jobs []job
	// repairs are the groups with members to replace, by urgency.
	repairs []*repair
	// counted is the number of replicas that need no replacement.
	counted map[*servingGroup]int
	// ready is the number of replicas that serve after this plan.
	ready map[*servingGroup]int
	// touched holds the groups that get no further change in this plan.
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
	pl.plan.Changes[len(pl.plan.Changes)-1].Detail = pl.describe(r)
	pl.touched[r.ID] = true
}

// describe lists the members of a replica with their states, the age of their
// announcements and what entries report of the replica.
func (pl *planner) describe(r *replica) string {
	var b strings.Builder
	for rank, h := range r.mem.members {
		age := int64(-1)
		if h.status != nil {
			age = h.status.AgeMillis
		}
		fmt.Fprintf(&b, "%s=%s/%dms ", r.Members[rank], r.states[rank], age)
	}
	if p := pl.progress[r.ID]; p != nil {
		fmt.Fprintf(&b, "answered=%dms stalled=%t", p.AnsweredMillis, p.Stalled)
	}
	return b.String()
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
		pl.change(c, ReasonReleaseProven)
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
