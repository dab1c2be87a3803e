package placement

import (
	"slices"
	"time"
)

// query is one choice in progress.
type query struct {
	demand  *Demand
	now     time.Time
	entries int
	domain  string
	// spare lets a choice pass over targets that are only suspected.
	desperate bool
}

// filter tells whether a target may take a request, and names what spoke against
// it.
type filter struct {
	name  string
	admit func(s *state, q *query) bool
}

// filters are passed in this order.
var filters = []filter{
	{"excluded", notExcluded},
	{"suspected", notSuspected},
	{"busy", hasSlot},
	{"cold", isWarmEnough},
}

func notExcluded(s *state, q *query) bool { return !slices.Contains(q.demand.Exclude, s.ID) }

func notSuspected(s *state, q *query) bool { return q.desperate || !s.suspected(q.now) }

// hasSlot keeps requests out of the queue of the target itself, where they could
// not be taken back.
func hasSlot(s *state, q *query) bool {
	if s.Slots == 0 {
		return true
	}
	return s.total(q.now).running < s.Slots
}

func isWarmEnough(s *state, q *query) bool { return s.coldAllows(q.now, q.entries) }
