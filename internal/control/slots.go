package control

import (
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// slotTable maps the slots of entries to the hosts that they stand for. It
// belongs to one leadership, whose term is the session of every entry.
type slotTable struct {
	mu      sync.Mutex
	entries map[api.EntryID]*entrySlots
}

// entrySlots are the slots of one entry process.
type entrySlots struct {
	incarnation api.Incarnation
	hosts       map[uint64]slotHost
	// latest is the one slot that a host keeps.
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

// of returns the slots of an entry process, empty for a new process.
func (t *slotTable) of(entry api.EntryID, incarnation api.Incarnation) *entrySlots {
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

// keep remembers the slots of whole announcements. Slots of an older process
// are not kept.
func (t *slotTable) keep(r api.AnnounceBatch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slots := t.of(r.Entry, r.Incarnation)
	if slots.incarnation != r.Incarnation {
		return
	}
	for i, slot := range r.Slots {
		slots.keep(slot, &r.Announcements[i])
	}
}

// keep gives a host its newest slot. A slot below it comes from a batch that
// arrived late.
func (s *entrySlots) keep(slot uint64, a *api.Announcement) {
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
func (t *slotTable) resolve(r api.AnnounceBatch, beats []uint64) (hosts []slotHost, all bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	slots := t.of(r.Entry, r.Incarnation)
	if slots.incarnation != r.Incarnation {
		return nil, false
	}
	for _, beat := range beats {
		if h, found := slots.hosts[beat]; found {
			hosts = append(hosts, h)
		}
	}
	return hosts, len(hosts) == len(beats)
}

// touch counts a host as seen now. It reports whether the host is known in this
// incarnation, and whether it had counted as gone.
func (t *hostTable) touch(h slotHost, v vouch) (known, returned bool) {
	shard := t.shard(h.host)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	old, found := shard.rows[h.host]
	if !found || old.announcement.Incarnation != h.incarnation {
		return false, false
	}
	shard.rows[h.host] = &hostRow{announcement: old.announcement, seen: v.until, via: v.entry}
	return true, !t.alive(old.seen, v.now)
}

// silence counts a host as gone that the entry which vouched for it last reports
// as silent. It returns whether the host had counted as alive.
func (t *hostTable) silence(h slotHost, v vouch) bool {
	shard := t.shard(h.host)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	old, found := shard.rows[h.host]
	if !found || old.via != v.entry || old.announcement.Incarnation != h.incarnation || !t.alive(old.seen, v.now) {
		return false
	}
	gone := v.now.Add(-t.bound - time.Millisecond)
	shard.rows[h.host] = &hostRow{announcement: old.announcement, seen: gone, via: old.via}
	return true
}
