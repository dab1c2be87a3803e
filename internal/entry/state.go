// Package entry holds the soft state of an entry daemon: the applied view, its
// work lease and its connection to the control role.
package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
)

// ControlCaller calls the current control leader.
type ControlCaller interface {
	Call(ctx context.Context, method api.Method, params, result any) error
}

// Snapshot is an immutable view with indexes for the request path.
type Snapshot struct {
	api.View
	groups         map[api.GroupID]*api.Group
	servingGroups  map[api.ServingGroupName]*api.ServingGroup
	byModel        map[string][]*api.ServingGroup
	byShard        map[api.ShardID][]*api.Group
	shards         map[api.ShardID]*api.ShardLease
	accountsByHash map[string]*api.Account
	accounts       map[api.AccountID]*api.Account
	entries        map[api.EntryID]*api.EntryInfo
	services       map[string]*api.Service
	drained        map[api.FailureDomain]bool
	quarantines    map[string]api.Quarantine
	// keyQuarantines are those of keys, each under its first key.
	keyQuarantines map[string][]api.Quarantine
	anyDrained     bool
}

// NewSnapshot indexes a view, which the caller must not change afterwards.
func NewSnapshot(v api.View) *Snapshot {
	s := &Snapshot{
		View:           v,
		groups:         make(map[api.GroupID]*api.Group, len(v.Groups)),
		servingGroups:  make(map[api.ServingGroupName]*api.ServingGroup, len(v.ServingGroups)),
		byModel:        make(map[string][]*api.ServingGroup, len(v.ServingGroups)),
		byShard:        make(map[api.ShardID][]*api.Group, len(v.Shards)),
		shards:         make(map[api.ShardID]*api.ShardLease, len(v.Shards)),
		accountsByHash: make(map[string]*api.Account, len(v.Accounts)),
		accounts:       make(map[api.AccountID]*api.Account, len(v.Accounts)),
		entries:        make(map[api.EntryID]*api.EntryInfo, len(v.Entries)),
		services:       make(map[string]*api.Service, len(v.Services)),
		drained:        make(map[api.FailureDomain]bool, len(v.Domains)),
		quarantines:    make(map[string]api.Quarantine, len(v.Quarantines)),
		keyQuarantines: make(map[string][]api.Quarantine),
	}
	s.indexGroups()
	s.indexMetadata()
	return s
}

func (s *Snapshot) indexGroups() {
	for i := range s.ServingGroups {
		sg := &s.ServingGroups[i]
		s.servingGroups[sg.Name] = sg
		s.byModel[sg.Model] = append(s.byModel[sg.Model], sg)
	}
	for i := range s.Groups {
		s.indexReplica(&s.Groups[i])
	}
	for _, server := range s.Servers {
		if server.Limited() {
			g := server.Replica()
			s.indexReplica(&g)
		}
	}
	for i := range s.Shards {
		lease := &s.Shards[i]
		s.shards[lease.Shard] = lease
	}
}

func (s *Snapshot) indexReplica(g *api.Group) {
	s.groups[g.ID] = g
	id := api.ShardID{ServingGroup: g.ServingGroup, Domain: g.Domain}
	s.byShard[id] = append(s.byShard[id], g)
}

func (s *Snapshot) indexMetadata() {
	for i := range s.Accounts {
		a := &s.Accounts[i]
		s.accounts[a.ID] = a
		for _, hash := range a.KeyHashes {
			s.accountsByHash[hash] = a
		}
	}
	for i := range s.Entries {
		e := &s.Entries[i]
		s.entries[e.ID] = e
	}
	for i := range s.Services {
		svc := &s.Services[i]
		s.services[svc.Name] = svc
	}
	for _, d := range s.Domains {
		s.drained[d.Name] = d.State == api.DomainDrained
		s.anyDrained = s.anyDrained || s.drained[d.Name]
	}
	for _, q := range s.Quarantines {
		s.quarantines[q.Fingerprint] = q
		if len(q.Keys) > 0 {
			s.keyQuarantines[q.Keys[0]] = append(s.keyQuarantines[q.Keys[0]], q)
		}
	}
}

// Group returns a group or a limited backend server of a plain service, or nil.
func (s *Snapshot) Group(id api.GroupID) *api.Group { return s.groups[id] }

// ServingGroup returns a serving group, or nil.
func (s *Snapshot) ServingGroup(name api.ServingGroupName) *api.ServingGroup {
	return s.servingGroups[name]
}

// Model returns the serving groups that serve a model.
func (s *Snapshot) Model(model string) []*api.ServingGroup { return s.byModel[model] }

// ShardGroups returns the replicas of a shard, in any phase.
func (s *Snapshot) ShardGroups(id api.ShardID) []*api.Group { return s.byShard[id] }

// HasShard reports whether any shard of a serving group or plain service is
// leased.
func (s *Snapshot) HasShard(name api.ServingGroupName) bool {
	for i := range s.Shards {
		if s.Shards[i].Shard.ServingGroup == name {
			return true
		}
	}
	return false
}

// Shard returns the lease of a shard, or nil.
func (s *Snapshot) Shard(id api.ShardID) *api.ShardLease { return s.shards[id] }

// AccountByHash returns the account with a key hash, or nil.
func (s *Snapshot) AccountByHash(hash string) *api.Account { return s.accountsByHash[hash] }

// Account returns an account, or nil.
func (s *Snapshot) Account(id api.AccountID) *api.Account { return s.accounts[id] }

// Entry returns an entry daemon, or nil.
func (s *Snapshot) Entry(id api.EntryID) *api.EntryInfo { return s.entries[id] }

// Service returns a plain service, or nil.
func (s *Snapshot) Service(name string) *api.Service { return s.services[name] }

// Drained reports whether the failure domain is drained.
func (s *Snapshot) Drained(d api.FailureDomain) bool { return s.drained[d] }

// Quarantine returns the quarantine of a request fingerprint, if there is one.
func (s *Snapshot) Quarantine(fingerprint string) (api.Quarantine, bool) {
	q, ok := s.quarantines[fingerprint]
	return q, ok
}

// QuarantinesKeys reports whether any quarantine of keys is in force.
func (s *Snapshot) QuarantinesKeys() bool { return len(s.keyQuarantines) > 0 }

// QuarantinesOf returns the quarantines of which a request with keys has every key.
func (s *Snapshot) QuarantinesOf(keys []string) []api.Quarantine {
	var out []api.Quarantine
	for _, k := range keys {
		for _, q := range s.keyQuarantines[k] {
			if !slices.ContainsFunc(q.Keys, func(other string) bool { return !slices.Contains(keys, other) }) {
				out = append(out, q)
			}
		}
	}
	return out
}

// State holds the current snapshot and work lease of an entry. It is safe for
// concurrent use, and reads take no lock.
type State struct {
	Info     api.EntryInfo
	clock    clock.Clock
	snapshot atomic.Pointer[Snapshot]
	lease    atomic.Pointer[time.Time]
	leaving  atomic.Bool
	// confirmed is the send time of the last call whose response showed that the
	// snapshot was current.
	confirmed atomic.Pointer[time.Time]
	// restoredAt is the time at which the last drained failure domain was restored.
	restoredAt atomic.Pointer[time.Time]
}

// NewState returns a state without a view and without a lease.
func NewState(info api.EntryInfo, c clock.Clock) *State {
	s := &State{Info: info, clock: c}
	s.snapshot.Store(NewSnapshot(api.View{}))
	return s
}

// Snapshot returns the newest applied snapshot.
func (s *State) Snapshot() *Snapshot { return s.snapshot.Load() }

// Apply replaces the snapshot and reports whether it did. A view with a lower
// revision is ignored.
func (s *State) Apply(v api.View) bool {
	for {
		old := s.snapshot.Load()
		if v.Revision < old.Revision {
			return false
		}
		next := NewSnapshot(v)
		if s.snapshot.CompareAndSwap(old, next) {
			s.recordDomainReturn(old, next)
			return true
		}
	}
}

// Confirm records that the snapshot was current on the leader at the given time.
func (s *State) Confirm(at time.Time) { s.confirmed.Store(&at) }

// SinceConfirmed returns the time since the leader last confirmed a snapshot, and
// false if it never has.
func (s *State) SinceConfirmed() (time.Duration, bool) {
	at := s.confirmed.Load()
	if at == nil {
		return 0, false
	}
	return s.clock.Now().Sub(*at), true
}

// SetLease sets the time at which the work lease expires, on the monotonic clock.
func (s *State) SetLease(until time.Time) { s.lease.Store(&until) }

// MayWork reports whether new work may be accepted: the work lease is valid and
// no shutdown has begun.
func (s *State) MayWork() bool { return s.HasLease() && !s.leaving.Load() }

// HasLease reports whether the work lease is valid, also during a graceful
// shutdown. Callers must check it again right before they write a request to a
// backend server.
func (s *State) HasLease() bool {
	until := s.lease.Load()
	return until != nil && s.clock.Now().Before(*until)
}

// Leaving reports whether a graceful shutdown has begun.
func (s *State) Leaving() bool { return s.leaving.Load() }

// SetLeaving begins a graceful shutdown, after which no new work is accepted.
func (s *State) SetLeaving() { s.leaving.Store(true) }
