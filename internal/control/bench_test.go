package control

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"github.com/crocusway/crocusway/internal/api"
)

// Sizes of the state in the benchmarks.
const (
	benchGroups  = 1000
	benchMembers = 16
	benchRecords = 100_000
)

func benchState(b *testing.B, groups, records int) *State {
	s := NewState()
	seedServingGroups(b, s)
	for g := range groups {
		members := make([]api.HostID, 0, benchMembers)
		for m := range benchMembers {
			members = append(members, api.HostID(fmt.Sprintf("host-%04d-%02d", g, m)))
		}
		apply(b, s, &groupCommand{Change: api.GroupChange{Kind: api.GroupForm, Group: api.Group{
			ID: api.GroupID(fmt.Sprintf("group-%04d", g)), ServingGroup: "sg1", Model: "model", Members: members,
			Domain: api.FailureDomain(fmt.Sprintf("d%d", g%11)), Fabric: api.FabricDomain(fmt.Sprintf("f%d", g%100)),
		}}}, 1)
	}
	apply(b, s, &entryPutCommand{Info: api.EntryInfo{ID: "e1", Incarnation: 1, Live: true}, Applied: s.Revision()}, 1)
	for r := range records {
		apply(b, s, benchOpen(r), 1)
	}
	return s
}

func benchOpen(i int) *recordOpenCommand {
	return &recordOpenCommand{
		Record: api.Record{
			Account: "account", Key: fmt.Sprintf("key-%032x", uint64(i)*0x9E3779B97F4A7C15), BodyHash: digest,
			Request: api.RequestID(fmt.Sprintf("request-%018d", i)), Entry: "e1", Incarnation: 1,
		},
		Limits: RecordLimits{MaxRecords: 1 << 30, MaxBytes: 1 << 50, RetentionMillis: 1},
	}
}

func encoded(b *testing.B, cmd command) []byte {
	data, err := encodeCommand(cmd, 1)
	if err != nil {
		b.Fatal(err)
	}
	return data
}

func benchUpdate(group, load int) *groupCommand {
	return &groupCommand{Change: api.GroupChange{
		Kind: api.GroupUpdate, Fencing: api.Fencing(group + 1),
		Group: api.Group{ID: api.GroupID(fmt.Sprintf("group-%04d", group)), Warm: true, BearableLoad: load, Address: "10.0.0.1:8000"},
	}}
}

func BenchmarkApplyGroupUpdate(b *testing.B) {
	s := benchState(b, benchGroups, 0)
	commands := make([][]byte, b.N)
	for i := range commands {
		commands[i] = encoded(b, benchUpdate(i%benchGroups, i))
	}
	b.ReportMetric(float64(len(commands[0])), "bytes/command")
	b.ResetTimer()
	for _, data := range commands {
		s.Apply(1, data)
	}
}

func BenchmarkApplyRecordOpen(b *testing.B) {
	s := benchState(b, 0, benchRecords)
	commands := make([][]byte, b.N)
	for i := range commands {
		commands[i] = encoded(b, benchOpen(benchRecords+i))
	}
	b.ReportMetric(float64(len(commands[0])), "bytes/command")
	b.ResetTimer()
	for _, data := range commands {
		s.Apply(1, data)
	}
}

func BenchmarkApplyPlanConfirm(b *testing.B) {
	s := benchState(b, benchGroups, 0)
	in := api.Intent{Domains: []api.Domain{{Name: "d1", State: api.DomainActive}}}
	for b.Loop() {
		s.Apply(1, encoded(b, &planCommand{Operator: "amal", Intent: in, Base: s.ConfigRevision(), Limit: 256}))
		s.Apply(1, encoded(b, &decideCommand{Operator: "amal", Plan: s.counters.load().Plan, Confirm: true}))
	}
}

func BenchmarkWatchDelta(b *testing.B) {
	s := benchState(b, benchGroups, 0)
	size := 0
	for i := 0; b.Loop(); i++ {
		s.Apply(1, encoded(b, benchUpdate(i%benchGroups, i+1)))
		data, err := json.Marshal(s.Update(s.Revision() - 1))
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes/delta")
}

func BenchmarkWatchFull(b *testing.B) {
	s := benchState(b, benchGroups, 0)
	size := 0
	for b.Loop() {
		data, err := json.Marshal(s.Update(0))
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes/view")
}

func BenchmarkSnapshot(b *testing.B) {
	s := benchState(b, benchGroups, benchRecords)
	size := 0
	for b.Loop() {
		data, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "bytes/snapshot")
}

func BenchmarkSnapshotCopy(b *testing.B) {
	s := benchState(b, benchGroups, benchRecords)
	for b.Loop() {
		s.copy()
	}
}

func BenchmarkRestore(b *testing.B) {
	s := benchState(b, benchGroups, benchRecords)
	data, err := s.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if err := NewState().Restore(data); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkFleet(b *testing.B) {
	f := newFixture()
	f.states[0] = benchState(b, benchGroups, 0)
	f.services[0].state = f.states[0]
	for b.Loop() {
		if _, err := f.services[0].Fleet(ctx); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkSecond measures the leader's duties of one second, with two
// announcements of every host.
func BenchmarkSecond(b *testing.B) {
	for _, groups := range []int{64, benchGroups} {
		b.Run(fmt.Sprintf("hosts=%d", groups*benchMembers), func(b *testing.B) {
			f := newFixture()
			f.states[0] = benchState(b, groups, 0)
			f.services[0].state = f.states[0]
			batch := benchAnnouncements(f.states[0])
			for i := 0; b.Loop(); i++ {
				for half := range 2 {
					for j := range batch {
						batch[j].Sequence = uint64(2*i + half + 1)
					}
					for chunk := range slices.Chunk(batch, DefaultMaxBatch) {
						if _, err := f.services[0].announce(ctx, api.AnnounceBatch{Announcements: chunk}); err != nil {
							b.Fatal(err)
						}
					}
				}
				for range 10 {
					f.clock.Advance(DefaultTickInterval)
					f.services[0].tick(ctx)
				}
			}
		})
	}
}

func benchAnnouncements(s *State) []api.Announcement {
	assignments := s.Fleet().Assignments
	out := make([]api.Announcement, 0, len(assignments))
	for _, a := range assignments {
		out = append(out, api.Announcement{
			Version: 1, Host: a.Host, Incarnation: 1, Address: "10.0.0.1:8000", Kind: api.BackendEngine,
			Fabric: "f1", Domain: "d1", Group: a.Group, Fencing: a.Fencing, Load: api.LoadReady,
		})
	}
	return out
}
