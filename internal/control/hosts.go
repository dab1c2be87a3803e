package control

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusway/crocusway/internal/api"
)

const (
	hostShards = 16
	// hostEvictBounds is the silence, in detection bounds, after which a
	// backend server without an assignment is evicted.
	hostEvictBounds = 60
)

// hostRow is the newest announcement of one backend server. Rows are immutable:
// a newer announcement replaces the row.
type hostRow struct {
	announcement api.Announcement
	// seen is when the host counts as last seen. It may lie ahead by the
	// heartbeatAllowance.
	seen time.Time
	// reporter is the entry that sent its newest announcement or heartbeat.
	reporter api.EntryID
}

type hostShard struct {
	mu   sync.RWMutex
	rows map[api.HostID]*hostRow
}

// hostTable holds what the leader has received about backend servers. It is not
// replicated, belongs to one leadership and is split into shards with a lock
// each.
type hostTable struct {
	shards [hostShards]hostShard
	// limit bounds the rows of one shard.
	limit int
	bound time.Duration
	// assumedSeenNanos is the time, in Unix nanoseconds, at which a host that
	// has not announced itself to this leader counts as last seen.
	assumedSeenNanos atomic.Int64
	// began is when the leadership began.
	began time.Time
}

func newHostTable(limit int, bound time.Duration, began, assumedSeen time.Time) *hostTable {
	t := &hostTable{limit: max(1, limit/hostShards), bound: bound, began: began}
	t.assumedSeenNanos.Store(assumedSeen.UnixNano())
	for i := range t.shards {
		t.shards[i].rows = make(map[api.HostID]*hostRow)
	}
	return t
}

// assumedSeen is when a host that has not announced itself yet counts as last
// seen.
func (t *hostTable) assumedSeen() time.Time { return time.Unix(0, t.assumedSeenNanos.Load()) }

func (t *hostTable) shard(id api.HostID) *hostShard {
	return &t.shards[xxhash.Sum64String(string(id))%hostShards]
}

// livenessReport holds the sender and the times of a report on hosts: those that
// announce themselves to the entry count as seen until seenUntil, those that it
// reports as silent do not.
type livenessReport struct {
	entry          api.EntryID
	now, seenUntil time.Time
}

// update stores an announcement that is newer than the stored one. It returns
// whether it was stored, and whether that is significant: the host is new or
// returned, or more than its load changed.
func (t *hostTable) update(a api.Announcement, report livenessReport) (kept, changed bool) {
	shard := t.shard(a.Host)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	old, known := shard.rows[a.Host]
	if known && !newer(a, old.announcement) {
		return false, false
	}
	if !known && len(shard.rows) >= t.limit {
		return false, false
	}
	shard.rows[a.Host] = &hostRow{announcement: a, seen: report.seenUntil, reporter: report.entry}
	return true, !known || !t.alive(old.seen, report.now) || old.announcement.Significant() != a.Significant()
}

// depart marks an incarnation of a host as leaving, whatever its last
// announcement says.
func (t *hostTable) depart(id api.HostID, incarnation api.Incarnation) {
	shard := t.shard(id)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	old, found := shard.rows[id]
	if !found || old.announcement.Incarnation > incarnation || old.announcement.Leaving {
		return
	}
	row := *old
	row.announcement.Leaving = true
	shard.rows[id] = &row
}

func newer(a, than api.Announcement) bool {
	return cmp.Or(cmp.Compare(a.Incarnation, than.Incarnation), cmp.Compare(a.Sequence, than.Sequence)) > 0
}

func (t *hostTable) alive(seen, now time.Time) bool { return now.Sub(seen) <= t.bound }

// get returns the row of a host, which the caller must not change.
func (t *hostTable) get(id api.HostID) (*hostRow, bool) {
	shard := t.shard(id)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	row, ok := shard.rows[id]
	return row, ok
}

// services returns the live backend servers of plain services, sorted by host.
func (t *hostTable) services(now time.Time) []api.HostStatus {
	var rows []*hostRow
	for i := range t.shards {
		rows = t.shards[i].appendTo(rows, func(row *hostRow) bool {
			return row.announcement.Kind == api.BackendService && t.alive(row.seen, now)
		})
	}
	return t.statuses(rows, now)
}

// all returns every row, unordered.
func (t *hostTable) all() []*hostRow {
	out := make([]*hostRow, 0, t.size())
	for i := range t.shards {
		out = t.shards[i].appendTo(out, func(*hostRow) bool { return true })
	}
	return out
}

// size returns the number of hosts in the table.
func (t *hostTable) size() int {
	n := 0
	for i := range t.shards {
		t.shards[i].mu.RLock()
		n += len(t.shards[i].rows)
		t.shards[i].mu.RUnlock()
	}
	return n
}

func (s *hostShard) appendTo(out []*hostRow, f func(*hostRow) bool) []*hostRow {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, row := range s.rows {
		if f(row) {
			out = append(out, row)
		}
	}
	return out
}

// statuses sorts rows by host. Sorting pointers avoids moving announcements.
func (t *hostTable) statuses(rows []*hostRow, now time.Time) []api.HostStatus {
	slices.SortFunc(rows, func(a, b *hostRow) int {
		return cmp.Compare(a.announcement.Host, b.announcement.Host)
	})
	out := make([]api.HostStatus, 0, len(rows))
	for _, row := range rows {
		out = append(out, t.status(row.announcement, row.seen, now))
	}
	return out
}

func (t *hostTable) status(a api.Announcement, seen, now time.Time) api.HostStatus {
	return api.HostStatus{
		Announcement: a,
		AgeMillis:    max(0, now.Sub(seen).Milliseconds()),
		Alive:        t.alive(seen, now),
	}
}

// evict drops hosts without an assignment that have been silent for
// hostEvictBounds detection bounds.
func (t *hostTable) evict(now time.Time, assigned func(api.HostID) bool) {
	for i := range t.shards {
		t.shards[i].evict(now.Add(-hostEvictBounds*t.bound), assigned)
	}
}

func (s *hostShard) evict(before time.Time, assigned func(api.HostID) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, row := range s.rows {
		if row.seen.Before(before) && !assigned(id) {
			delete(s.rows, id)
		}
	}
}

// withAssumed adds the assigned hosts that have not announced themselves to
// this leader, with incarnation 0 and the state that their group had last. They
// count as seen at assumedSeen. Releasing hosts are left out: their address is
// not known, and they serve nothing.
func (t *hostTable) withAssumed(f api.FleetView, now time.Time) []api.HostStatus {
	rows := t.all()
	announced := len(rows)
	var groups map[api.GroupID]*api.Group
	for _, a := range f.Assignments {
		if _, ok := t.get(a.Host); ok || a.Releasing {
			continue
		}
		if groups == nil {
			groups = groupsByID(f.Groups)
		}
		rows = append(rows, &hostRow{announcement: assumedAnnouncement(a, groups[a.Group]), seen: t.assumedSeen()})
	}
	out := t.statuses(rows, now)
	if len(rows) == announced {
		return out
	}
	for i := range out {
		if out[i].Announcement.Incarnation == 0 {
			out[i].AssumedMillis = now.Sub(t.began).Milliseconds()
		}
	}
	return out
}

func groupsByID(groups []api.Group) map[api.GroupID]*api.Group {
	out := make(map[api.GroupID]*api.Group, len(groups))
	for i := range groups {
		out[groups[i].ID] = &groups[i]
	}
	return out
}

func assumedAnnouncement(a api.Assignment, g *api.Group) api.Announcement {
	if g == nil {
		g = &api.Group{}
	}
	out := api.Announcement{
		Version: api.AnnouncementVersion,
		Host:    a.Host,
		Kind:    api.BackendEngine,
		Fabric:  g.Fabric,
		Domain:  g.Domain,
		Group:   a.Group,
		Fencing: a.Fencing,
		Rank:    max(0, slices.Index(g.Members, a.Host)),
		Model:   g.Model,
		Load:    api.LoadLoading,
	}
	if g.Phase == api.GroupReady {
		out.Load = api.LoadReady
	}
	if out.Rank == 0 {
		out.Address = g.Address
		out.Warm = g.Warm
		out.BearableLoad = g.BearableLoad
		out.WarmLoad = g.WarmLoad
		out.Capabilities = g.Capabilities
	}
	return out
}
