package placement

import (
	"slices"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// query is one choice of a target.
type query struct {
	demand  *Demand
	now     time.Time
	domain  string
	profile *api.EngineProfile
	pool    *Pool
}

// filter decides whether a target may take a request; name is the reason for a
// rejection.
type filter struct {
	name  string
	admit func(s *targetState, q *query) bool
}

// filters are applied in this order.
var filters = []filter{
	{"closed", isOpen},
	{"excluded", notExcluded},
	{"leaving", isStaying},
	{"paused", isUnpaused},
	{"suspected", notSuspected},
	{"busy", hasSlot},
	{"slow", isInTime},
	{"cold", isWarmEnough},
	{"limited", isWithinLimit},
}

func isOpen(s *targetState, _ *query) bool { return !s.Closed }

func notExcluded(s *targetState, q *query) bool { return !slices.Contains(q.demand.Exclude, s.ID) }

func notSuspected(s *targetState, q *query) bool { return !s.suspected(q.now) }

// hasSlot keeps requests out of the queue of the target itself, from which they could
// not be withdrawn.
func hasSlot(s *targetState, q *query) bool {
	if s.Slots == 0 {
		return true
	}
	return s.total(q.now).running < s.Slots
}

// isInTime rejects a target that would send its first event only after the caller has
// given up, as the work would be wasted.
func isInTime(s *targetState, q *query) bool {
	if q.profile == nil || q.demand.FirstBy.IsZero() {
		return true
	}
	expected := firstEventTime(q.profile, s.paceFactor(), s.total(q.now), q.demand.Prompt)
	return !q.now.Add(expected).After(q.demand.FirstBy)
}

func isWarmEnough(s *targetState, q *query) bool { return s.coldAllows(q.now) }
