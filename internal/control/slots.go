package control

import (
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// slotTable maps the slots of entries to hosts. It belongs to one leadership,
// whose term is the session of every entry.
type slotTable struct {
	mu      sync.Mutex
	entries map[api.EntryID]*entrySlots
}

// entrySlots are the slots of one entry process.
type entrySlots struct {
	incarnation api.Incarnation
	hosts       map[uint64]slotHost
	// latest is the current slot of each host.
	latest map[api.HostID]uint64
}

// slotHost is the host whose whole announcement came with a slot.
type slotHost struct {
	host        api.HostID
	incarnation api.Incarnation
}

func newSlotTable() *slotTable {
	return &slotTable{entries: make(map[api.EntryID]*entrySlots)}
}

// forEntry returns the slots of an entry process. They start empty for a new
// process.
func (t *slotTable) forEntry(entry api.EntryID, incarnation api.Incarnation) *entrySlots {
	slots := t.entries[entry]
	if slots == nil || slots.incarnation < incarnation {
		slots = &entrySlots{
			incarnation: incarnation,
			hosts:       make(map[uint64]slotHost),
			latest:      make(map[api.HostID]uint64),
		}
		t.entries[entry] = slots
	}
	return slots
}

// record stores the slots of whole announcements. Slots of an older process are
// dropped.
func (t *slotTable) record(r api.AnnounceBatch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slots := t.forEntry(r.Entry, r.Incarnation)
	if slots.incarnation != r.Incarnation {
		return
	}
	for i, slot := range r.Slots {
		slots.record(slot, &r.Announcements[i])
	}
}

// record sets the slot of a host. A lower slot comes from a batch that arrived
// late and is ignored.
func (s *entrySlots) record(slot uint64, a *api.Announcement) {
	last, found := s.latest[a.Host]
	if found && slot < last {
		return
	}
	if found {
		delete(s.hosts, last)
	}
	s.latest[a.Host] = slot
	s.hosts[slot] = slotHost{host: a.Host, incarnation: a.Incarnation}
}

// resolve returns the hosts of heartbeats, and whether every slot was known.
func (t *slotTable) resolve(r api.AnnounceBatch, heartbeats []uint64) (hosts []slotHost, all bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slots := t.forEntry(r.Entry, r.Incarnation)
	if slots.incarnation != r.Incarnation {
		return nil, false
	}
	for _, slot := range heartbeats {
		if h, found := slots.hosts[slot]; found {
			hosts = append(hosts, h)
		}
	}
	return hosts, len(hosts) == len(heartbeats)
}

// touch counts a host as seen. It reports whether the host is known in this
// incarnation, and whether it had counted as lost.
func (t *hostTable) touch(h slotHost, report livenessReport) (known, returned bool) {
	shard := t.shard(h.host)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	old, found := shard.rows[h.host]
	if !found || old.announcement.Incarnation != h.incarnation {
		return false, false
	}
	shard.rows[h.host] = &hostRow{announcement: old.announcement, seen: report.seenUntil, reporter: report.entry}
	return true, !t.alive(old.seen, report.now)
}

// markSilent counts a host as lost if the report comes from the entry that last
// reported the host. It returns whether the host had counted as alive.
func (t *hostTable) markSilent(h slotHost, report livenessReport) bool {
	shard := t.shard(h.host)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	old, found := shard.rows[h.host]
	if !found || old.reporter != report.entry || old.announcement.Incarnation != h.incarnation || !t.alive(old.seen, report.now) {
		return false
	}
	seen := report.now.Add(-t.bound - time.Millisecond)
	shard.rows[h.host] = &hostRow{announcement: old.announcement, seen: seen, reporter: old.reporter}
	return true
}
