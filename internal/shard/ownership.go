package shard

import (
	"time"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/entry"
	"github.com/crocusway/crocusway/internal/errs"
)

// Update applies a newer view: it takes over shards newly leased to this entry,
// and releases those leased to another entry or under a newer epoch.
func (m *Manager) Update(s *entry.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordNotLive(s)
	m.grantBounds.observe(m.cfg.Clock.Now(), s, m.cfg.Settings.DefaultWarmLoad)
	kept := make(map[api.ShardID]bool, len(m.shards))
	for _, lease := range s.Shards {
		if lease.Owner != m.cfg.Self.ID {
			continue
		}
		kept[lease.Shard] = true
		m.updateShard(s, lease)
	}
	for id, o := range m.shards {
		if !kept[id] {
			m.releaseShard(id, o)
		}
	}
}

// recordNotLive records since when entries have no work lease.
func (m *Manager) recordNotLive(s *entry.Snapshot) {
	now := m.cfg.Clock.Now()
	for _, e := range s.Entries {
		if e.Live {
			delete(m.notLiveSince, e.ID)
			continue
		}
		if _, ok := m.notLiveSince[e.ID]; !ok {
			m.notLiveSince[e.ID] = now
		}
	}
	for id := range m.notLiveSince {
		if s.Entry(id) == nil {
			delete(m.notLiveSince, id)
		}
	}
}

// settings returns the settings, with the work lease of the view if it is
// longer.
func (m *Manager) settings(s *entry.Snapshot) Settings {
	out := m.cfg.Settings
	out.WorkLease = max(out.WorkLease, time.Duration(s.LeaseMillis)*time.Millisecond)
	return out
}

// holders returns the entries that may hold grants of an earlier owner: those
// that were live within the handover timeout, except entries that left after
// settling all grants.
func (m *Manager) holders(s *entry.Snapshot) []api.EntryInfo {
	now := m.cfg.Clock.Now()
	holders := make([]api.EntryInfo, 0, len(s.Entries))
	for _, e := range s.Entries {
		if !e.Live && e.Finished {
			continue
		}
		since, notLive := m.notLiveSince[e.ID]
		if !notLive || now.Sub(since) <= m.settings(s).handoverTimeout() {
			holders = append(holders, e)
		}
	}
	return holders
}

func (m *Manager) updateShard(s *entry.Snapshot, lease api.ShardLease) {
	view := View{Groups: s.ShardGroups(lease.Shard), Drained: s.Drained(lease.Shard.Domain), Entries: m.holders(s)}
	o := m.shards[lease.Shard]
	if o != nil && o.epoch != lease.Epoch {
		m.releaseShard(lease.Shard, o)
		o = nil
	}
	if o == nil {
		view.Bounds = m.grantBounds.bounds(m.cfg.Clock.Now(), view.Groups, m.settings(s).handoverTimeout())
		t := term{epoch: lease.Epoch, incarnation: m.cfg.Self.Incarnation}
		core := NewCore(lease.Shard, t, m.settings(s), view, m.cfg.Clock.Now())
		o = &ownedShard{epoch: lease.Epoch, core: core, waiters: map[uint64]waiter{}, attributes: shardAttributes(lease.Shard)}
		m.shards[lease.Shard] = o
		level.Info(m.logger).Log("msg", "took over a shard", "shard", lease.Shard, "epoch", lease.Epoch)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.servingShards = countServingShards(s, lease.Shard.ServingGroup)
	o.core.Update(view)
	m.advance(o)
}

// releaseShard ends the ownership of a shard and refuses its waiting requests.
func (m *Manager) releaseShard(id api.ShardID, o *ownedShard) {
	delete(m.shards, id)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lost = true
	for ticket, w := range o.waiters {
		w.decision <- Decision{Ticket: ticket, Err: staleError(id)}
		delete(o.waiters, ticket)
	}
	level.Info(m.logger).Log("msg", "released a shard", "shard", id, "epoch", o.epoch)
}

func staleError(id api.ShardID) *errs.Error {
	return errs.New(errs.Stale, "acquire grant", "", "shard %s has another owner or epoch", id)
}

// countServingShards returns the number of shards of a serving group with an
// available replica, at least 1.
func countServingShards(s *entry.Snapshot, name api.ServingGroupName) int {
	n := 0
	for _, lease := range s.Shards {
		if lease.Shard.ServingGroup == name && shardServes(s, lease.Shard) {
			n++
		}
	}
	return max(1, n)
}

// shardServes reports whether any replica of the shard is available.
func shardServes(s *entry.Snapshot, id api.ShardID) bool {
	if s.Drained(id.Domain) {
		return false
	}
	for _, g := range s.ShardGroups(id) {
		if g.Phase == api.GroupReady && !g.Leaving {
			return true
		}
	}
	return false
}
