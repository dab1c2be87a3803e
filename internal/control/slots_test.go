package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

func slotBatch(incarnation api.Incarnation, slot uint64, host api.HostID, started api.Incarnation) api.AnnounceBatch {
	return api.AnnounceBatch{
		Entry:         "e1",
		Incarnation:   incarnation,
		Announcements: []api.Announcement{{Host: host, Incarnation: started}},
		Slots:         []uint64{slot},
	}
}

func TestSlotsResolve(t *testing.T) {
	cases := []struct {
		name    string
		batches []api.AnnounceBatch
		from    api.Incarnation
		beats   []uint64
		hosts   []slotHost
		all     bool
	}{
		{"known", []api.AnnounceBatch{slotBatch(1, 1, "h1", 1)}, 1, []uint64{1}, []slotHost{{"h1", 1}}, true},
		{"unknown", []api.AnnounceBatch{slotBatch(1, 1, "h1", 1)}, 1, []uint64{2}, nil, false},
		{"newer slot of the host", []api.AnnounceBatch{slotBatch(1, 1, "h1", 1), slotBatch(1, 2, "h1", 2)}, 1, []uint64{2}, []slotHost{{"h1", 2}}, true},
		{"older slot of the host", []api.AnnounceBatch{slotBatch(1, 1, "h1", 1), slotBatch(1, 2, "h1", 2)}, 1, []uint64{1}, nil, false},
		{"late batch", []api.AnnounceBatch{slotBatch(1, 2, "h1", 2), slotBatch(1, 1, "h1", 1)}, 1, []uint64{2}, []slotHost{{"h1", 2}}, true},
		{"restarted entry", []api.AnnounceBatch{slotBatch(1, 1, "h1", 1), slotBatch(2, 1, "h2", 1)}, 2, []uint64{1}, []slotHost{{"h2", 1}}, true},
		{"heartbeat of the previous process", []api.AnnounceBatch{slotBatch(2, 1, "h2", 1)}, 1, []uint64{1}, nil, false},
		{"announcement of the previous process", []api.AnnounceBatch{slotBatch(2, 1, "h2", 1), slotBatch(1, 1, "h1", 1)}, 2, []uint64{1}, []slotHost{{"h2", 1}}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newSlotTable()
			for _, b := range c.batches {
				table.record(b)
			}
			hosts, all := table.resolve(api.AnnounceBatch{Entry: "e1", Incarnation: c.from}, c.beats)
			require.Equal(t, c.hosts, hosts)
			require.Equal(t, c.all, all)
		})
	}
}

// reportAt is the report of an entry that forwards every heartbeat at once.
func reportAt(at time.Time) livenessReport {
	return livenessReport{entry: "e1", now: at, seenUntil: at}
}

// A host whose entry forwards heartbeats rarely counts as alive between them,
// unless that entry reports it as silent.
func TestHostSeenBetweenRareHeartbeats(t *testing.T) {
	const bound = 2 * time.Second
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	longReport := func(entry api.EntryID, seconds int) livenessReport {
		return livenessReport{entry: entry, now: at(seconds), seenUntil: at(seconds + 6)}
	}
	h := slotHost{"h1", 1}
	cases := []struct {
		name    string
		silent  *livenessReport
		aliveAt int
		lostAt  int
	}{
		{"heartbeats end", nil, 8, 9},
		{"its entry reports it as silent", new(longReport("e1", 3)), 2, 3},
		{"an earlier entry reports it as silent", new(longReport("e2", 3)), 8, 9},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := newHostTable(100, bound, start, start)
			table.update(api.Announcement{Host: "h1", Incarnation: 1, Sequence: 1}, longReport("e2", 0))
			table.touch(h, longReport("e1", 0))
			alive := func(seconds int) bool {
				row, _ := table.get("h1")
				return table.alive(row.seen, at(seconds))
			}
			require.True(t, alive(c.aliveAt))
			if c.silent != nil {
				table.markSilent(h, *c.silent)
			}
			require.False(t, alive(c.lostAt))
			_, returned := table.touch(h, longReport("e2", 20))
			require.True(t, returned)
		})
	}
}

// A heartbeat must not keep a host alive that has restarted since the
// announcement of the slot.
func TestHeartbeatOfOlderIncarnation(t *testing.T) {
	start := time.Unix(100, 0)
	table := newHostTable(100, time.Second, start, start)
	table.update(api.Announcement{Host: "h1", Incarnation: 2, Sequence: 1}, reportAt(start))
	known, _ := table.touch(slotHost{"h1", 1}, reportAt(start.Add(time.Second)))
	require.False(t, known)
	row, _ := table.get("h1")
	require.Equal(t, start, row.seen)
	known, returned := table.touch(slotHost{"h1", 2}, reportAt(start.Add(5*time.Second)))
	require.True(t, known)
	require.True(t, returned, "it had been silent for longer than the bound")
}
