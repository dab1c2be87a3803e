package ingress

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

// leavingAfter answers with the notice of a leave from the nth request on.
func leavingAfter(n int64) func(*received) {
	var count atomic.Int64
	return func(r *received) {
		notice := ""
		if count.Add(1) >= n {
			notice = "Leaving: 1\r\n"
		}
		r.write("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: %s\r\n%sContent-Length: 4\r\n\r\ndone", r.header.Peek("Id"), r.name, notice)
	}
}

// TestServerThatLeavesInItsAnswersGetsNoMore sends requests while the view still names the
// server as ready.
func TestServerThatLeavesInItsAnswersGetsNoMore(t *testing.T) {
	h := newHarness(t)
	leaving := newFakeServer(t, "a", leavingAfter(1))
	h.ledger(leaving)
	require.Equal(t, 200, h.send("GET", "/read/1", "").StatusCode)
	require.Equal(t, 503, h.send("GET", "/read/1", "").StatusCode, "no other server")
	h.ledger(newFakeServer(t, "b", serveDone))
	for range 10 {
		require.Equal(t, 200, h.send("POST", "/post/1", "deposit").StatusCode)
	}
	require.Equal(t, int64(1), leaving.arrived.Load())
	require.Contains(t, h.logs.String(), `msg="Server leaves"`)
}

// TestNoticeOfForwardedAnswerHoldsAtBothEntries: after the links are back, the first entry
// knows what the server said through the second.
func TestNoticeOfForwardedAnswerHoldsAtBothEntries(t *testing.T) {
	leaving := newFakeServer(t, "l1", leavingAfter(1))
	g := cutFirst(t, 2, oneOfEach(leaving, newFakeServer(t, "s1", serveEvents(3))))
	require.Equal(t, 200, g.entries[0].send("GET", "/read/1", "").StatusCode)
	g.links[0].set(linksWork)
	require.Eventually(t, func() bool { return !g.entries[0].server.links.all.Lost() }, waitFor, time.Millisecond)
	for _, h := range g.entries {
		require.Equal(t, 503, h.send("GET", "/read/1", "").StatusCode)
	}
	require.Equal(t, int64(1), leaving.arrived.Load())
}

// TestPausedServerGetsNothing has a server turn requests away with a pause.
func TestPausedServerGetsNothing(t *testing.T) {
	h := newHarness(t)
	pausing := newFakeServer(t, "a", func(r *received) { r.status(503, "Refused: 1\r\nPause: 60000\r\n") })
	h.ledger(pausing)
	res := h.send("GET", "/read/1", "", "Deadline", "1500")
	require.Equal(t, 503, res.StatusCode)
	for range 5 {
		began := time.Now()
		res = h.send("GET", "/read/1", "", "Deadline", "1500")
		require.Equal(t, 503, res.StatusCode)
		require.Less(t, time.Since(began), 500*time.Millisecond, "refused at once")
		var seconds float64
		_, err := fmt.Sscan(res.Header.Get("Retry-After"), &seconds)
		require.NoError(t, err)
		require.Greater(t, seconds, 58.0, "the pause of the only server")
	}
	h.ledger(newFakeServer(t, "b", serveDone))
	for range 10 {
		require.Equal(t, 200, h.send("POST", "/post/1", "deposit").StatusCode)
	}
	require.Equal(t, int64(1), pausing.arrived.Load())
}

// TestNoticeOfAnswerWithoutIDCounts guards against requests to a server whose departure the
// entry has passed on.
func TestNoticeOfAnswerWithoutIDCounts(t *testing.T) {
	h := newHarness(t)
	leaving := newFakeServer(t, "a", func(r *received) {
		r.write("HTTP/1.1 200 OK\r\nSeal: a\r\nLeaving: 1\r\nContent-Length: 4\r\n\r\ndone")
	})
	h.ledger(leaving)
	require.Equal(t, 200, h.send("GET", "/read/1", "").StatusCode)
	require.Equal(t, 503, h.send("GET", "/read/1", "").StatusCode)
	require.Equal(t, int64(1), leaving.arrived.Load())
}

// TestNoticesOfOthersDoNotCount has another instance at the same address answer, and a late
// answer to another request come first.
func TestNoticesOfOthersDoNotCount(t *testing.T) {
	h := newHarness(t)
	var count atomic.Int64
	server := newFakeServer(t, "a", func(r *received) {
		if count.Add(1) == 1 {
			r.write("HTTP/1.1 503 X\r\nId: other\r\nLeaving: 1\r\nPause: 60000\r\nContent-Length: 0\r\n\r\n")
		}
		r.ok("done")
	})
	h.ledger(server)
	for range 3 {
		require.Equal(t, 200, h.send("GET", "/read/1", "").StatusCode)
	}
	moved := newHarness(t)
	moved.ledger(newFakeServer(t, "b", func(r *received) { r.status(421, "Leaving: 1\r\nPause: 60000\r\n") }))
	moved.send("GET", "/read/1", "")
	require.NotContains(t, moved.logs.String(), "Server leaves")
	require.NotContains(t, moved.logs.String(), "asks for a pause")
}

// startAgain has the view name an incarnation of the server that started at a time.
func (h *harness) startAgain(host api.HostID, at time.Time) {
	for i := range h.view.Servers {
		if s := &h.view.Servers[i]; s.Host == host {
			s.Incarnation = api.Incarnation(at.UnixMilli())
		}
	}
	for i := range h.view.Groups {
		if g := &h.view.Groups[i]; g.Members[0] == host {
			g.HeadIncarnation, g.Fencing = api.Incarnation(at.UnixMilli()), g.Fencing+1
		}
	}
	h.apply()
}

// TestNoticeHoldsForLifeThatViewNamesLater guards against requests to a server that had
// started again before it said that it leaves, while the view named its former life.
func TestNoticeHoldsForLifeThatViewNamesLater(t *testing.T) {
	h := newHarness(t)
	leaving := newFakeServer(t, "a", leavingAfter(2))
	h.ledger(leaving)
	h.startAgain("a", time.Now().Add(-time.Hour))
	second := time.Now().Add(-time.Minute)
	for range 2 {
		require.Equal(t, 200, h.send("GET", "/read/1", "").StatusCode)
	}
	h.startAgain("a", second)
	require.Equal(t, 503, h.send("GET", "/read/1", "").StatusCode)
	require.Equal(t, int64(2), leaving.arrived.Load())
	h.startAgain("a", time.Now().Add(time.Minute))
	require.Equal(t, 200, h.send("GET", "/read/1", "").StatusCode, "a life after the notice")
}

// TestForwardedNoticeHoldsForLifeThatViewNamesLater is the same for an answer that came through
// another entry.
func TestForwardedNoticeHoldsForLifeThatViewNamesLater(t *testing.T) {
	leaving := newFakeServer(t, "l1", leavingAfter(1))
	g := cutFirst(t, 2, oneOfEach(leaving, newFakeServer(t, "s1", serveEvents(3))))
	first := g.entries[0]
	require.Equal(t, 200, first.send("GET", "/read/1", "").StatusCode)
	g.links[0].set(linksWork)
	require.Eventually(t, func() bool { return !first.server.links.all.Lost() }, waitFor, time.Millisecond)
	for _, h := range g.entries {
		h.startAgain("l1", time.Now().Add(-time.Minute))
		require.Equal(t, 503, h.send("GET", "/read/1", "").StatusCode)
	}
	require.Equal(t, int64(1), leaving.arrived.Load())
}
