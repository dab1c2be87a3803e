package control

import (
	"cmp"
	"slices"
	"sync"

	"github.com/crocusway/crocusway/internal/api"
)

// changeRingSize is the number of revisions that a watch can catch up on
// without a full view.
const changeRingSize = 4096

// viewTable names a table of the view.
type viewTable uint8

const (
	tableServingGroups viewTable = iota
	tableAccounts
	tableDomains
	tableServices
	tableGroups
	tableEntries
	tableShards
	tableServers
	tableQuarantines
	tablePublication
	tableDepartures
)

// viewKey names one row of the view.
type viewKey struct {
	table viewTable
	key   string
}

func compareViewKeys(a, b viewKey) int {
	return cmp.Or(cmp.Compare(a.table, b.table), cmp.Compare(a.key, b.key))
}

// changeRing holds which rows the newest revisions changed.
type changeRing struct {
	mu    sync.RWMutex
	slots [][]viewKey
	// first and last bound the stored revisions; the changes of first itself
	// are not stored.
	first, last api.Revision
}

func newChangeRing(size int, at api.Revision) *changeRing {
	return &changeRing{slots: make([][]viewKey, size), first: at, last: at}
}

func (r *changeRing) add(revision api.Revision, keys []viewKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	size := api.Revision(len(r.slots))
	r.slots[revision%size] = keys
	r.last = revision
	if r.last-r.first > size {
		r.first = r.last - size
	}
}

// reset drops all changes and continues at a revision.
func (r *changeRing) reset(at api.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.slots)
	r.first = at
	r.last = at
}

// since returns the rows changed after a revision, sorted and without
// duplicates. It reports false when the ring no longer holds the revision, or
// when the state has not reached it.
func (r *changeRing) since(from api.Revision) ([]viewKey, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if from < r.first || from > r.last {
		return nil, false
	}
	var keys []viewKey
	for revision := from + 1; revision <= r.last; revision++ {
		keys = append(keys, r.slots[revision%api.Revision(len(r.slots))]...)
	}
	slices.SortFunc(keys, compareViewKeys)
	return slices.Compact(keys), true
}

// Update returns the changes after a revision, or the full view when the ring
// does not hold them.
func (s *State) Update(from api.Revision) api.ViewUpdate {
	s.viewMu.RLock()
	defer s.viewMu.RUnlock()
	update := api.ViewUpdate{From: from, To: s.Revision()}
	keys, ok := s.changes.since(from)
	if !ok {
		update.Full = true
		update.Upsert = s.cache.view(s.view)
		return update
	}
	update.Upsert.Revision = update.To
	update.Upsert.LeaseMillis = s.counters.load().LeaseMillis
	for _, key := range keys {
		s.addChange(&update, key)
	}
	return update
}

// addChange adds the current row of a key to an update, or its removal.
func (s *State) addChange(u *api.ViewUpdate, k viewKey) {
	up, removed := &u.Upsert, &u.Removed
	switch k.table {
	case tableServingGroups:
		collectChange(s.config.servingGroups, api.ServingGroupName(k.key), &up.ServingGroups, &removed.ServingGroups)
	case tableAccounts:
		collectChange(s.config.accounts, api.AccountID(k.key), &up.Accounts, &removed.Accounts)
	case tableDomains:
		collectChange(s.config.domains, api.FailureDomain(k.key), &up.Domains, &removed.Domains)
	case tableServices:
		collectChange(s.config.services, k.key, &up.Services, &removed.Services)
	case tableGroups:
		collectChange(s.groups, api.GroupID(k.key), &up.Groups, &removed.Groups)
	case tableServers:
		collectChange(s.servers, api.HostID(k.key), &up.Servers, &removed.Servers)
	case tableDepartures:
		collectChange(s.departures, api.HostID(k.key), &up.Departures, &removed.Departures)
	case tablePublication:
		up.Publication = s.published()
	default:
		s.addDerived(u, k)
	}
}

// addDerived handles the tables whose rows or keys differ from those of the
// view.
func (s *State) addDerived(u *api.ViewUpdate, k viewKey) {
	switch k.table {
	case tableEntries:
		if row, ok := s.entries.get(api.EntryID(k.key)); ok {
			u.Upsert.Entries = append(u.Upsert.Entries, row.Info)
			return
		}
		u.Removed.Entries = append(u.Removed.Entries, api.EntryID(k.key))
	case tableShards:
		if row, ok := s.shards.get(k.key); ok {
			u.Upsert.Shards = append(u.Upsert.Shards, row)
			return
		}
		u.Removed.Shards = append(u.Removed.Shards, shardOf(k.key))
	case tableQuarantines:
		if row, ok := s.quarantines.get(k.key); ok {
			u.Upsert.Quarantines = append(u.Upsert.Quarantines, row.Quarantine)
			return
		}
		u.Removed.Quarantines = append(u.Removed.Quarantines, k.key)
	}
}

func collectChange[K cmp.Ordered, V any](t *table[K, V], key K, upsert *[]V, removed *[]K) {
	if row, ok := t.get(key); ok {
		*upsert = append(*upsert, row)
		return
	}
	*removed = append(*removed, key)
}
