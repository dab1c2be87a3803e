package placement

import (
	"slices"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// query is one choice in progress.
type query struct {
	demand  *Demand
	now     time.Time
	domain  string
	profile *api.EngineProfile
}

// filter tells whether a target may take a request, and names what spoke against
// it.
type filter struct {
	name  string
	admit func(s *state, q *query) bool
}

// filters are passed in this order.
var filters = []filter{
	{"closed", isOpen},
	{"excluded", notExcluded},
	{"suspected", notSuspected},
	{"busy", hasSlot},
	{"slow", isInTime},
	{"cold", isWarmEnough},
}

func isOpen(s *state, _ *query) bool { return !s.Closed }

func notExcluded(s *state, q *query) bool { return !slices.Contains(q.demand.Exclude, s.ID) }

func notSuspected(s *state, q *query) bool { return !s.suspected(q.now) }

// hasSlot keeps requests out of the queue of the target itself, where they could
// not be taken back.
func hasSlot(s *state, q *query) bool {
	if s.Slots == 0 {
		return true
	}
	return s.total(q.now).running < s.Slots
}

// isInTime keeps a request from a target that would send its first event only after
// the caller has given up: the work would be in vain.
func isInTime(s *state, q *query) bool {
	if q.profile == nil || q.demand.FirstBy.IsZero() {
		return true
	}
	expected := firstEvent(q.profile, s.paceOf(), s.total(q.now), q.demand.Prompt)
	return !q.now.Add(expected).After(q.demand.FirstBy)
}

func isWarmEnough(s *state, q *query) bool { return s.coldAllows(q.now) }
