package shard

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/entry"
)

// grantBounds records the most grants that owners may have outstanding on each
// replica at its current generation, so that a new owner can bound the grants
// that are not reported yet.
type grantBounds map[api.GroupID]grantBound

type grantBound struct {
	fencing api.Fencing
	// maxLimit is the largest limit that any announced state allowed.
	maxLimit int
	since    time.Time
}

// observe updates the bounds from the announced states. A smaller limit does
// not lower the bound, because grants issued under the larger one may be in
// use.
func (b grantBounds) observe(now time.Time, s *entry.Snapshot, defaultWarm int) {
	for i := range s.Groups {
		g := s.Groups[i]
		bound, ok := b[g.ID]
		if !ok || bound.fencing != g.Fencing {
			bound = grantBound{fencing: g.Fencing, since: now}
		}
		g.Warm = true
		bound.maxLimit = max(bound.maxLimit, ceilingOf(&g, defaultWarm))
		b[g.ID] = bound
	}
	for id := range b {
		if s.Group(id) == nil {
			delete(b, id)
		}
	}
}

// bounds returns the bounds of the replicas that were observed for at least
// minAge, the longest lifetime of an unreported grant.
func (b grantBounds) bounds(now time.Time, groups []*api.Group, minAge time.Duration) map[api.GroupID]int {
	out := make(map[api.GroupID]int, len(groups))
	for _, g := range groups {
		if r, ok := b[g.ID]; ok && now.Sub(r.since) >= minAge {
			out[g.ID] = r.maxLimit
		}
	}
	return out
}
