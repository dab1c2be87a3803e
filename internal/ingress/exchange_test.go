package ingress

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/placement"
)

// exchangeWorld is a set of entries that pass load reports to each other.
type exchangeWorld struct {
	t       *testing.T
	now     time.Time
	entries []api.EntryInfo
	nodes   map[api.EntryID]*exchangeNode
	// sent counts reports, crossed the loads in those between failure domains.
	sent    int
	crossed int
}

type exchangeNode struct {
	*exchange
	down  bool
	own   []api.Load
	crash []api.Crash
	known map[api.EntryID]timedLoads
	learn []api.Crash
}

func newExchangeWorld(t *testing.T, perDomain ...int) *exchangeWorld {
	w := &exchangeWorld{t: t, now: time.Unix(1_700_000_000, 0), nodes: make(map[api.EntryID]*exchangeNode)}
	for d, n := range perDomain {
		for i := range n {
			info := api.EntryInfo{
				ID: api.EntryID(fmt.Sprintf("e-%d-%02d", d, i)), Incarnation: 1, Live: true,
				Domain: api.FailureDomain(fmt.Sprintf("d%d", d)),
			}
			w.entries = append(w.entries, info)
			w.nodes[info.ID] = &exchangeNode{exchange: newExchange(info), known: make(map[api.EntryID]timedLoads)}
		}
	}
	return w
}

// round lets every entry report once.
func (w *exchangeWorld) round() {
	w.now = w.now.Add(shareInterval)
	for _, e := range w.entries {
		n := w.nodes[e.ID]
		if n.down {
			continue
		}
		crash := n.crash
		n.crash = nil
		for _, d := range n.outgoing(w.now, news{loads: n.own, crashes: crash}, w.entries) {
			w.deliver(e, d)
		}
	}
}

func (w *exchangeWorld) deliver(from api.EntryInfo, d delivery) {
	w.sent++
	if from.Domain != d.to.Domain {
		w.crossed += len(d.report.Loads)
		for _, s := range d.report.Sums {
			w.crossed += len(s.Loads)
		}
	}
	n := w.nodes[d.to.ID]
	if n.down {
		return
	}
	n.learn = append(n.learn, d.report.Crashes...)
	for _, work := range n.incoming(w.now, d.report) {
		n.known[work.source] = timedLoads{work.loads, w.now}
	}
}

// running is what an entry believes that all entries run on a target.
func (w *exchangeWorld) running(n *exchangeNode, target string) int {
	total := 0
	add := func(loads []api.Load) {
		for _, l := range loads {
			if l.Target == target {
				total += l.Running
			}
		}
	}
	add(n.own)
	for _, k := range n.known {
		if w.now.Sub(k.at) < placement.ReportLifetime {
			add(k.loads)
		}
	}
	return total
}

// requireAll requires that every entry which is up knows the work of all.
func (w *exchangeWorld) requireAll(target string) {
	w.t.Helper()
	want := 0
	for _, n := range w.nodes {
		if !n.down {
			want += loadOn(n.own, target)
		}
	}
	for id, n := range w.nodes {
		if !n.down {
			require.Equal(w.t, want, w.running(n, target), "as %s sees it", id)
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

// TestEveryEntryKnowsTheWorkOfAll plays few entries, which report directly, and many,
// which report through relays, with work that changes all the time.
func TestEveryEntryKnowsTheWorkOfAll(t *testing.T) {
	for _, perDomain := range [][]int{{1}, {2, 1, 1}, {3, 3, 2}, {3, 3, 3}, {12, 11, 11}, {34}, {1, 20}} {
		t.Run(fmt.Sprint(perDomain), func(t *testing.T) {
			w := newExchangeWorld(t, perDomain...)
			for step := range 5 {
				for i, e := range w.entries {
					w.nodes[e.ID].own = []api.Load{{Target: "g1", Running: i + step}, {Target: "g2", Running: 1}}
				}
				for range 3 {
					w.round()
				}
				w.requireAll("g1")
				w.requireAll("g2")
			}
			for _, e := range w.entries {
				w.nodes[e.ID].own = nil
			}
			for range 3 {
				w.round()
			}
			w.requireAll("g1")
		})
	}
}

// TestReportsBetweenDomainsStayFew compares what crosses failure domains with reports
// of every entry to every other.
func TestReportsBetweenDomainsStayFew(t *testing.T) {
	const targets, rounds = 30, 20
	w := newExchangeWorld(t, 12, 11, 11)
	for round := range rounds {
		for i, e := range w.entries {
			w.nodes[e.ID].own = nil
			for g := range targets {
				load := api.Load{Target: fmt.Sprint("g", g), Running: 1 + (i+g+round)%3}
				w.nodes[e.ID].own = append(w.nodes[e.ID].own, load)
			}
		}
		w.round()
	}
	direct := rounds * (12*22 + 11*23 + 11*23)
	require.Less(t, w.crossed/targets, direct/20)
	require.Less(t, w.sent, rounds*34*33/2)
}

// TestLostRelayIsBorne kills one relay of each failure domain before anyone knows.
func TestLostRelayIsBorne(t *testing.T) {
	for rank := range relaysPerDomain {
		w := newExchangeWorld(t, 12, 11, 11)
		for _, e := range w.entries {
			w.nodes[e.ID].own = []api.Load{{Target: "g1", Running: 1}}
		}
		w.round()
		for d := range 3 {
			w.nodes[api.EntryID(fmt.Sprintf("e-%d-%02d", d, rank))].down = true
		}
		for range int(placement.ReportLifetime/shareInterval) + 3 {
			w.round()
		}
		w.requireAll("g1")
	}
}

// TestCrashesReachEveryEntry sends a crash to all, relays or not, once.
func TestCrashesReachEveryEntry(t *testing.T) {
	w := newExchangeWorld(t, 12, 11, 11)
	w.nodes["e-1-05"].crash = []api.Crash{{Content: 7, Target: "g1", Generation: 3}}
	w.round()
	w.round()
	for _, e := range w.entries {
		want := 1
		if e.ID == "e-1-05" {
			want = 0
		}
		require.Len(t, w.nodes[e.ID].learn, want, "%s", e.ID)
	}
}

// TestOvertakenReportIsDropped delivers an older report after a newer one.
func TestOvertakenReportIsDropped(t *testing.T) {
	x := newExchange(api.EntryInfo{ID: "e1", Domain: "d0", Live: true})
	now := time.Unix(1_700_000_000, 0)
	newer := api.LoadReport{Entry: "e2", Domain: "d0", Sequence: 2, Loads: []api.Load{{Target: "g1", Running: 2}}}
	older := api.LoadReport{Entry: "e2", Domain: "d0", Sequence: 1}
	require.Len(t, x.incoming(now, &newer), 1)
	require.Empty(t, x.incoming(now, &older))
}

// TestLeavingRelayIsReplaced chooses relays that stay.
func TestLeavingRelayIsReplaced(t *testing.T) {
	w := newExchangeWorld(t, 4, 4, 4)
	w.entries[0].Leaving = true
	relays := domainRelays(w.entries, "d0")
	require.Len(t, relays, relaysPerDomain)
	require.Equal(t, []api.EntryID{"e-0-01", "e-0-02"}, []api.EntryID{relays[0].ID, relays[1].ID})
}

// TestNewPublicationIsReportedAtOnce tells other entries of a publication without any
// load.
func TestNewPublicationIsReportedAtOnce(t *testing.T) {
	w := newExchangeWorld(t, 2)
	x, now := w.nodes["e-0-00"], w.now
	require.Empty(t, x.outgoing(now, news{}, w.entries))
	out := x.outgoing(now, news{publication: 5}, w.entries)
	require.Len(t, out, 1)
	require.Equal(t, uint64(5), out[0].report.Publication)
	require.Empty(t, x.outgoing(now, news{publication: 5}, w.entries))
}
