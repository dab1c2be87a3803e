package group

import (
	"github.com/crocusway/crocusway/internal/api"
)

// rebalance plans one more replica of a serving group in a failure domain that
// holds at least two fewer than another one. Once it serves, trimSurplus releases
// a replica of the fullest domain. One replica moves at a time, and only while
// nothing is missing, loading or being released.
func (pl *planner) rebalance() {
	if !pl.policy.Rebalance || len(pl.jobs) > 0 || !pl.settled() {
		return
	}
	for _, sg := range pl.sgs {
		f := pl.place(sg)
		if f == nil || pl.fullest(sg)-sg.byDomain[f.domain] < minImbalance {
			continue
		}
		pl.form(sg, pl.score(sg, pl.weights.DomainChange))
		pl.jobs[len(pl.jobs)-1].change.Reason = ReasonRebalance
		return
	}
}

// minImbalance is the smallest difference in replicas between two failure domains
// that a move reduces.
const minImbalance = 2

// settled reports whether every wanted replica is ready and no other one exists.
func (pl *planner) settled() bool {
	for _, sg := range pl.sgs {
		if pl.ready[sg] != sg.Replicas || len(sg.replicas) != sg.Replicas || sg.releasing > 0 {
			return false
		}
	}
	return true
}

// fullest is the greatest number of replicas that a failure domain holds.
func (pl *planner) fullest(sg *servingGroup) int {
	most := 0
	for _, n := range sg.byDomain {
		most = max(most, n)
	}
	return most
}

// improvesSpread reports whether a loading replica improves the distribution over
// failure domains, so that its load continues although enough replicas serve.
func (pl *planner) improvesSpread(r *replica) bool {
	return pl.policy.Rebalance && r.Phase == api.GroupLoading &&
		pl.fullest(r.sg)-(r.sg.byDomain[r.Domain]-1) >= minImbalance
}
