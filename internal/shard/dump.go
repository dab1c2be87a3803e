package shard

import (
	"slices"
	"strings"

	"github.com/crocusway/crocusway/internal/api"
)

// Dump is the state of one owned shard for /debug/state.
type Dump struct {
	Shard    api.ShardID   `json:"shard"`
	Epoch    api.Revision  `json:"epoch"`
	Waiting  int           `json:"waiting"`
	Replicas []ReplicaDump `json:"replicas"`
}

// ReplicaDump holds the owner's counts for one replica, in requests.
type ReplicaDump struct {
	Group api.GroupID `json:"group"`
	Held  int         `json:"held"`
	Limit int         `json:"limit"`
	// Uncertain is set while an unknown number of grants of an earlier owner may
	// be unreported.
	Uncertain bool `json:"uncertain,omitempty"`
	// Unreported is the maximum number of unreported grants of earlier owners.
	Unreported int `json:"unreported,omitempty"`
}

// Dump returns the state of every owned shard, ordered by name.
func (m *Manager) Dump() []Dump {
	m.mu.RLock()
	defer m.mu.RUnlock()
	out := make([]Dump, 0, len(m.shards))
	for id, o := range m.shards {
		out = append(out, o.dump(id))
	}
	slices.SortFunc(out, func(a, b Dump) int { return strings.Compare(a.Shard.String(), b.Shard.String()) })
	return out
}

func (o *ownedShard) dump(id api.ShardID) Dump {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := Dump{Shard: id, Epoch: o.epoch, Waiting: len(o.waiters)}
	for _, r := range o.core.ledger.order {
		d.Replicas = append(d.Replicas, ReplicaDump{
			Group:      r.group.ID,
			Held:       r.held,
			Limit:      r.limit.value,
			Uncertain:  r.uncertain,
			Unreported: r.unreported,
		})
	}
	return d
}
