package shard

import (
	"github.com/crocusway/crocusway/internal/api"
)

// ObserveLoad records the load reported by rank 0 of a replica. Reports lag and
// may be missing, so they only affect the choice between replicas, never the
// count of grants.
func (m *Manager) ObserveLoad(a api.Announcement) {
	if a.Kind != api.BackendEngine || a.Rank != 0 || a.Group == "" {
		return
	}
	group := m.cfg.View.Snapshot().Group(a.Group)
	if group == nil || group.Fencing != a.Fencing {
		return
	}
	m.mu.RLock()
	o := m.shards[api.ShardID{ServingGroup: group.ServingGroup, Domain: group.Domain}]
	m.mu.RUnlock()
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if r := o.core.ledger.replicas[a.Group]; r != nil {
		r.load = loadReport{queued: a.Queued, at: m.cfg.Clock.Now()}
	}
}
