package group

import (
	"github.com/crocusway/crocusway/internal/api"
)

// rebalance plans one more replica of a serving group in a failure domain that
// holds at least two fewer than another one. Once it serves, trimSurplus gives up
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

// minImbalance is the least difference between the replicas of two failure
// domains that a move makes smaller.
const minImbalance = 2

// settled reports whether every replica serves and nothing is under way.
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

// improvesSpread reports whether a loading replica makes the spread over failure
// domains better, so that it is worth to be finished although enough serve.
func (pl *planner) improvesSpread(r *replica) bool {
	return pl.policy.Rebalance && r.Phase == api.GroupLoading &&
		pl.fullest(r.sg)-(r.sg.byDomain[r.Domain]-1) >= minImbalance
}
