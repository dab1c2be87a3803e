package shard

import (
	"math/rand/v2"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// choice is the context of choosing a replica for one ticket.
type choice struct {
	now     time.Time
	request *api.AcquireRequest
	ticket  uint64
	drained bool
	rand    *rand.Rand
}

// filter selects the replicas that may receive a request.
type filter interface {
	// keep reports whether the replica may receive the request now.
	keep(c *choice, r *replica) bool
}

// scorer rates a replica from 0 (worst) to 1 (best).
type scorer interface {
	score(c *choice, r *replica) float64
}

// picker selects one of the candidates, of which there is at least one.
type picker interface {
	pick(c *choice, candidates []*replica, score func(*replica) float64) *replica
}

// weightedScorer is a scorer and its weight in the sum.
type weightedScorer struct {
	scorer
	weight float64
}

// chooser chooses a replica: filters first, then scorers, then the picker.
type chooser struct {
	filters []filter
	scorers []weightedScorer
	picker  picker
	// scratch is reused between calls.
	scratch []*replica
}

func newChooser() *chooser {
	return &chooser{
		filters: []filter{readyFilter{}, uncertainFilter{}, excludedFilter{}, reservedFilter{}, freeFilter{}, stragglerFilter{}},
		scorers: []weightedScorer{
			{scorer: prefixScorer{}, weight: 2},
			{scorer: heldScorer{}, weight: 1},
			{scorer: loadScorer{}, weight: 0.5},
		},
		picker: twoChoicesPicker{},
	}
}

// choose returns the replica for a request, or nil.
func (ch *chooser) choose(c *choice, replicas []*replica) *replica {
	ch.scratch = ch.scratch[:0]
	for _, r := range replicas {
		if ch.keeps(c, r) {
			ch.scratch = append(ch.scratch, r)
		}
	}
	if len(ch.scratch) == 0 {
		return nil
	}
	return ch.picker.pick(c, ch.scratch, func(r *replica) float64 { return ch.score(c, r) })
}

func (ch *chooser) keeps(c *choice, r *replica) bool {
	for _, f := range ch.filters {
		if !f.keep(c, r) {
			return false
		}
	}
	return true
}

func (ch *chooser) score(c *choice, r *replica) float64 {
	sum := 0.0
	for _, s := range ch.scorers {
		sum += s.weight * s.score(c, r)
	}
	return sum
}
