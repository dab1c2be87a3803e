package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/crocusway/crocusway/internal/api"
)

var start = time.Unix(1_000_000, 0)

// fleet returns servers in three failure domains.
func fleet(n int) []Server {
	out := make([]Server, 0, n)
	for i := range n {
		out = append(out, Server{Address: fmt.Sprintf("s%d", i), Domain: api.FailureDomain(fmt.Sprintf("d%d", i%3))})
	}
	return out
}

func listed(servers []Server) func() []Server { return func() []Server { return servers } }

// probeAll reports the same result for each server.
func probeAll(t *Tracker, servers []Server, reachable func(Server) bool, now time.Time) {
	for _, s := range servers {
		t.Probed(s.Address, reachable(s), now)
	}
}

// loseLinks makes a tracker find that the links are lost.
func loseLinks(t *testing.T, tr *Tracker, servers []Server, now time.Time) {
	t.Helper()
	tr.Dialed("s0", false, now)
	tr.Dialed("s1", false, now)
	probeAll(tr, tr.Due(listed(servers), 0, now), func(Server) bool { return false }, now)
	require.True(t, tr.Lost())
}

func TestNothingIsProbedWhileServersAnswer(t *testing.T) {
	tr, now := NewTracker(), start
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		tr.Heard("s0", now)
		require.Empty(t, tr.Due(listed(fleet(9)), 8, now), "eight servers keep requests waiting, one answers")
	}
}

// TestFailedServersAreNoLostLinks covers a dead rack, a dead failure domain, a dead service
// and servers that are silent for a second: another server is reached.
func TestFailedServersAreNoLostLinks(t *testing.T) {
	for _, dead := range []int{2, 3, 6, 8} {
		tr, servers, now := NewTracker(), fleet(9), start
		last := servers[8]
		tr.Heard(last.Address, now)
		for _, s := range servers[:dead] {
			tr.Dialed(s.Address, false, now.Add(time.Second))
		}
		now = now.Add(time.Second)
		due := tr.Due(listed(servers), dead, now)
		require.Contains(t, due, last, "the server that answered last is probed")
		probeAll(tr, due, func(s Server) bool { return s == last }, now)
		require.False(t, tr.Lost(), "%d of 9 dead", dead)
	}
}

func TestLostLinksAreFoundInOneRound(t *testing.T) {
	for name, suspect := range map[string]func(*Tracker, time.Time) int{
		"silence":      func(*Tracker, time.Time) int { return 2 },
		"failed dials": func(tr *Tracker, at time.Time) int { tr.Dialed("s0", false, at); tr.Dialed("s4", false, at); return 0 },
	} {
		t.Run(name, func(t *testing.T) {
			tr, servers := NewTracker(), fleet(9)
			tr.Heard("s3", start)
			now := start.Add(SilenceBound)
			due := tr.Due(listed(servers), suspect(tr, now), now)
			require.Len(t, due, probesPerRound)
			domains := map[api.FailureDomain]bool{}
			for _, s := range due {
				domains[s.Domain] = true
			}
			require.Len(t, domains, 3, "one server of each failure domain")
			require.Empty(t, tr.Due(listed(servers), 9, now.Add(time.Second)), "one round at a time")
			probeAll(tr, due, func(Server) bool { return false }, now)
			require.True(t, tr.Lost())
		})
	}
}

// TestKeptConnectionsDoNotHideRefusedOnes covers links that carry bytes of open connections
// while new connections fail.
func TestKeptConnectionsDoNotHideRefusedOnes(t *testing.T) {
	tr, servers, now := NewTracker(), fleet(9), start
	tr.Heard("s3", now)
	loseLinks(t, tr, servers, now)
	tr.Heard("s3", now.Add(10*time.Millisecond))
	require.True(t, tr.Lost())
}

// TestReturnNeedsTwoSuccesses covers a lossy link, over which single connections get
// through, and a service of which a single server is back.
func TestReturnNeedsTwoSuccesses(t *testing.T) {
	tr, servers, now := NewTracker(), fleet(9), start
	loseLinks(t, tr, servers, now)
	probe := func(reachable func(Server) bool) (reached int) {
		now = now.Add(probeInterval)
		for _, s := range tr.Due(listed(servers), 0, now) {
			if reachable(s) {
				reached++
			}
			tr.Probed(s.Address, reachable(s), now)
		}
		return reached
	}
	nothing := func(Server) bool { return false }
	only := func(s Server) bool { return s.Address == "s5" }
	rounds := 0
	for probe(only) == 0 {
		rounds++
		require.LessOrEqual(t, rounds, 3, "every server is probed in turn")
	}
	require.True(t, tr.Lost(), "one success")
	probe(nothing)
	require.True(t, tr.Lost(), "the links failed again")
	rounds = 0
	for tr.Lost() {
		probe(only)
		rounds++
		require.LessOrEqual(t, rounds, 5, "the server that was reached is probed again at once")
	}
}

func TestProbesWhileLostAreFew(t *testing.T) {
	tr, servers, now := NewTracker(), fleet(1000), start
	loseLinks(t, tr, servers, now)
	probes := 0
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		due := tr.Due(listed(servers), 50, now)
		probes += len(due)
		probeAll(tr, due, func(Server) bool { return false }, now)
	}
	require.LessOrEqual(t, probes, 120, "in 10 s, whatever the number of servers")
}

func TestSingleServerCanBeTheOnlyProbe(t *testing.T) {
	tr, servers, now := NewTracker(), fleet(1), start
	tr.Dialed("s0", false, now)
	probeAll(tr, tr.Due(listed(servers), 0, now), func(Server) bool { return false }, now)
	require.True(t, tr.Lost())
	for range returnSuccesses {
		require.True(t, tr.Lost())
		now = now.Add(probeInterval)
		probeAll(tr, tr.Due(listed(servers), 0, now), func(Server) bool { return true }, now)
	}
	require.False(t, tr.Lost())
}

func TestFailuresAreEvidenceOnlyOverWorkingLinks(t *testing.T) {
	tr, now := NewTracker(), start
	require.False(t, tr.LinksShownSince(now, false))
	tr.Heard("s1", now.Add(time.Millisecond))
	require.True(t, tr.LinksShownSince(now, false))
	require.False(t, tr.LinksShownSince(now, true), "bytes on an open connection say nothing of new ones")
	tr.Dialed("s2", true, now.Add(time.Millisecond))
	require.True(t, tr.LinksShownSince(now, true))
	loseLinks(t, tr, fleet(3), now.Add(time.Second))
	require.False(t, tr.LinksShownSince(now, false))
}

// TestTrackerStates plays random events: the links are lost only after a round in which every
// probe failed, and return after two successes with no such round in between.
func TestTrackerStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr, servers, now := NewTracker(), fleet(rapid.IntRange(1, 12).Draw(t, "servers")), start
		successes := 0
		for range 60 {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			s := servers[rapid.IntRange(0, len(servers)-1).Draw(t, "server")]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				tr.Heard(s.Address, now)
			case 1:
				tr.Dialed(s.Address, false, now)
			case 2:
				tr.Dialed(s.Address, true, now)
			}
			due := tr.Due(listed(servers), rapid.IntRange(0, 5).Draw(t, "waiting"), now)
			wasLost, reached := tr.Lost(), 0
			for _, d := range due {
				ok := rapid.Bool().Draw(t, "reached")
				if ok {
					reached++
				}
				tr.Probed(d.Address, ok, now)
			}
			switch {
			case len(due) == 0:
				require.Equal(t, wasLost, tr.Lost(), "no change without a probe")
				continue
			case !wasLost:
				require.Equal(t, reached == 0, tr.Lost())
				successes = 0
				continue
			case reached == 0:
				successes = 0
			}
			successes += reached
			require.Equal(t, successes < returnSuccesses, tr.Lost())
		}
	})
}

// TestEntryDoesNotFreezeWhileServersAreListed guards against an entry that stops answering for
// good: the list takes the lock of a pool, which reports ask for the state of the links.
func TestEntryDoesNotFreezeWhileServersAreListed(t *testing.T) {
	tr, servers := NewTracker(), fleet(3)
	tr.Dialed("s0", false, start)
	tr.Dialed("s1", false, start)
	due := make(chan []Server, 1)
	go func() {
		due <- tr.Due(func() []Server {
			_ = tr.LinksShownSince(start, false)
			return servers
		}, 0, start)
	}()
	select {
	case chosen := <-due:
		require.Len(t, chosen, 3)
	case <-time.After(5 * time.Second):
		t.Fatal("the tracker holds its lock while the servers are listed")
	}
}

// TestFrozenEntryKeepsItsLinks guards against an entry that takes the end of its own pause, in
// which all probes time out, for lost links.
func TestFrozenEntryKeepsItsLinks(t *testing.T) {
	require.False(t, IsLate(ProbeTimeout+10*time.Millisecond))
	require.True(t, IsLate(time.Second))
	tr, servers, now := NewTracker(), fleet(9), start
	tr.Dialed("s0", false, now)
	tr.Dialed("s1", false, now)
	due := tr.Due(listed(servers), 0, now)
	require.Len(t, due, probesPerRound)
	tr.Probed(due[0].Address, false, now)
	for range due[1:] {
		tr.ProbedLate()
	}
	require.False(t, tr.Lost())
	loseLinks(t, tr, servers, now.Add(time.Second))
}
