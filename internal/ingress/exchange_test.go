package ingress

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/crashes"
	"github.com/crocusway/crocusway/internal/placement"
)

// exchangeSim is a set of entries that exchange load reports.
type exchangeSim struct {
	t       *testing.T
	now     time.Time
	entries []api.EntryInfo
	byID    map[api.EntryID]*simEntry
	// sent counts reports, crossDomainLoads the loads in those between failure domains.
	sent             int
	crossDomainLoads int
}

type simEntry struct {
	*loadExchange
	down            bool
	ownLoads        []api.Load
	ownCrashes      crashes.Report
	received        map[api.EntryID]timedLoads
	receivedCrashes []api.Crash
	answers         []api.HarmlessAnswer
}

func newExchangeSim(t *testing.T, perDomain ...int) *exchangeSim {
	sim := &exchangeSim{t: t, now: time.Unix(1_700_000_000, 0), byID: make(map[api.EntryID]*simEntry)}
	for d, n := range perDomain {
		for i := range n {
			info := api.EntryInfo{
				ID: api.EntryID(fmt.Sprintf("e-%d-%02d", d, i)), Incarnation: 1, Live: true,
				Domain: api.FailureDomain(fmt.Sprintf("d%d", d)),
			}
			sim.entries = append(sim.entries, info)
			sim.byID[info.ID] = &simEntry{loadExchange: newLoadExchange(info), received: make(map[api.EntryID]timedLoads)}
		}
	}
	return sim
}

// round makes every entry send the reports that are due.
func (sim *exchangeSim) round() {
	sim.now = sim.now.Add(loadReportInterval)
	for _, e := range sim.entries {
		n := sim.byID[e.ID]
		if n.down {
			continue
		}
		crash := n.ownCrashes
		n.ownCrashes = crashes.Report{}
		for _, d := range n.dueReports(sim.now, ownReport{loads: n.ownLoads, crashes: crash}, sim.entries) {
			sim.deliver(e, d)
		}
	}
}

func (sim *exchangeSim) deliver(from api.EntryInfo, d delivery) {
	sim.sent++
	if from.Domain != d.to.Domain {
		sim.crossDomainLoads += len(d.report.Loads)
		for _, s := range d.report.Sums {
			sim.crossDomainLoads += len(s.Loads)
		}
	}
	n := sim.byID[d.to.ID]
	if n.down {
		return
	}
	n.receivedCrashes = append(n.receivedCrashes, d.report.Crashes...)
	n.answers = append(n.answers, d.report.Answers...)
	for _, work := range n.applyReport(sim.now, d.report) {
		n.received[work.source] = timedLoads{work.loads, sim.now}
	}
}

// running returns the requests on a target over all entries, as one entry computes them.
func (sim *exchangeSim) running(n *simEntry, target string) int {
	total := 0
	add := func(loads []api.Load) {
		for _, l := range loads {
			if l.Target == target {
				total += l.Running
			}
		}
	}
	add(n.ownLoads)
	for _, k := range n.received {
		if sim.now.Sub(k.at) < placement.ReportLifetime {
			add(k.loads)
		}
	}
	return total
}

// requireAllAgree requires that every entry which is up computes the work of all.
func (sim *exchangeSim) requireAllAgree(target string) {
	sim.t.Helper()
	want := 0
	for _, n := range sim.byID {
		if !n.down {
			want += loadOn(n.ownLoads, target)
		}
	}
	for id, n := range sim.byID {
		if !n.down {
			require.Equal(sim.t, want, sim.running(n, target), "as computed by %s", id)
		}
	}
}

func loadOn(loads []api.Load, target string) int {
	for _, l := range loads {
		if l.Target == target {
			return l.Running
		}
	}
	return 0
}

// TestEveryEntryReceivesAllLoads covers few entries, which report directly, and many,
// which report through relays, with loads that change in every step.
func TestEveryEntryReceivesAllLoads(t *testing.T) {
	for _, perDomain := range [][]int{{1}, {2, 1, 1}, {3, 3, 2}, {3, 3, 3}, {12, 11, 11}, {34}, {1, 20}} {
		t.Run(fmt.Sprint(perDomain), func(t *testing.T) {
			sim := newExchangeSim(t, perDomain...)
			for step := range 5 {
				for i, e := range sim.entries {
					sim.byID[e.ID].ownLoads = []api.Load{{Target: "g1", Running: i + step}, {Target: "g2", Running: 1}}
				}
				for range 3 {
					sim.round()
				}
				sim.requireAllAgree("g1")
				sim.requireAllAgree("g2")
			}
			for _, e := range sim.entries {
				sim.byID[e.ID].ownLoads = nil
			}
			for range 3 {
				sim.round()
			}
			sim.requireAllAgree("g1")
		})
	}
}

// TestRelaysReduceCrossDomainLoads compares the loads that cross failure domains with
// those of direct reports between all entries.
func TestRelaysReduceCrossDomainLoads(t *testing.T) {
	const targets, rounds = 30, 20
	sim := newExchangeSim(t, 12, 11, 11)
	for round := range rounds {
		for i, e := range sim.entries {
			sim.byID[e.ID].ownLoads = nil
			for g := range targets {
				load := api.Load{Target: fmt.Sprint("g", g), Running: 1 + (i+g+round)%3}
				sim.byID[e.ID].ownLoads = append(sim.byID[e.ID].ownLoads, load)
			}
		}
		sim.round()
	}
	direct := rounds * (12*22 + 11*23 + 11*23)
	require.Less(t, sim.crossDomainLoads/targets, direct/20)
	require.Less(t, sim.sent, rounds*34*33/2)
}

// TestLoadsReachAllAfterRelayLoss stops one relay of each failure domain while the view
// still shows it as live.
func TestLoadsReachAllAfterRelayLoss(t *testing.T) {
	for rank := range relaysPerDomain {
		sim := newExchangeSim(t, 12, 11, 11)
		for _, e := range sim.entries {
			sim.byID[e.ID].ownLoads = []api.Load{{Target: "g1", Running: 1}}
		}
		sim.round()
		for d := range 3 {
			sim.byID[api.EntryID(fmt.Sprintf("e-%d-%02d", d, rank))].down = true
		}
		for range int(placement.ReportLifetime/loadReportInterval) + 3 {
			sim.round()
		}
		sim.requireAllAgree("g1")
	}
}

// TestCrashesReachEveryEntry reports a crash and an answer to every entry once, relay
// or not.
func TestCrashesReachEveryEntry(t *testing.T) {
	sim := newExchangeSim(t, 12, 11, 11)
	sim.byID["e-1-05"].ownCrashes = crashes.Report{
		Crashes: []api.Crash{{Keys: []string{"part/7"}, Target: "g1", Generation: 3}}, Answers: []api.HarmlessAnswer{{Keys: []string{"part/8"}}},
	}
	sim.round()
	sim.round()
	for _, e := range sim.entries {
		want := 1
		if e.ID == "e-1-05" {
			want = 0
		}
		require.Len(t, sim.byID[e.ID].receivedCrashes, want, "%s", e.ID)
		require.Len(t, sim.byID[e.ID].answers, want, "%s", e.ID)
	}
}

// TestOutOfOrderReportIsDropped delivers an older report after a newer one.
func TestOutOfOrderReportIsDropped(t *testing.T) {
	x := newLoadExchange(api.EntryInfo{ID: "e1", Domain: "d0", Live: true})
	now := time.Unix(1_700_000_000, 0)
	newer := api.LoadReport{Entry: "e2", Domain: "d0", Sequence: 2, Loads: []api.Load{{Target: "g1", Running: 2}}}
	older := api.LoadReport{Entry: "e2", Domain: "d0", Sequence: 1}
	require.Len(t, x.applyReport(now, &newer), 1)
	require.Empty(t, x.applyReport(now, &older))
}

// TestLeavingRelayIsReplaced selects relays among the entries that are not leaving.
func TestLeavingRelayIsReplaced(t *testing.T) {
	sim := newExchangeSim(t, 4, 4, 4)
	sim.entries[0].Leaving = true
	relays := domainRelays(sim.entries, "d0")
	require.Len(t, relays, relaysPerDomain)
	require.Equal(t, []api.EntryID{"e-0-01", "e-0-02"}, []api.EntryID{relays[0].ID, relays[1].ID})
}

// TestNewPublicationIsReportedAtOnce reports a publication to other entries without any
// load.
func TestNewPublicationIsReportedAtOnce(t *testing.T) {
	sim := newExchangeSim(t, 2)
	x, now := sim.byID["e-0-00"], sim.now
	require.Empty(t, x.dueReports(now, ownReport{}, sim.entries))
	out := x.dueReports(now, ownReport{publication: 5}, sim.entries)
	require.Len(t, out, 1)
	require.Equal(t, uint64(5), out[0].report.Publication)
	require.Empty(t, x.dueReports(now, ownReport{publication: 5}, sim.entries))
}
