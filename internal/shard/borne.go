package shard

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/entry"
)

// borne remembers the most that owners may have granted on each replica at its
// present generation, so that a new owner can bound what was not reported yet.
type borne map[api.GroupID]borneReplica

type borneReplica struct {
	fencing api.Fencing
	// most is the largest limit that any announced state allowed.
	most  int
	since time.Time
}

// note follows the announced states. A smaller limit does not lower the bound,
// because grants of the larger one may be in use.
func (b borne) note(now time.Time, s *entry.Snapshot, defaultWarm int) {
	for i := range s.Groups {
		g := s.Groups[i]
		known, ok := b[g.ID]
		if !ok || known.fencing != g.Fencing {
			known = borneReplica{fencing: g.Fencing, since: now}
		}
		g.Warm = true
		known.most = max(known.most, ceilingOf(&g, defaultWarm))
		b[g.ID] = known
	}
	for id := range b {
		if s.Group(id) == nil {
			delete(b, id)
		}
	}
}

// bounds returns the bounds of the replicas that were followed for as long as a
// grant may live unreported.
func (b borne) bounds(now time.Time, groups []*api.Group, hold time.Duration) map[api.GroupID]int {
	out := make(map[api.GroupID]int, len(groups))
	for _, g := range groups {
		if r, ok := b[g.ID]; ok && now.Sub(r.since) >= hold {
			out[g.ID] = r.most
		}
	}
	return out
}
