package ingress

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// crashingServers are servers that end for good when they run a request with one part in
// its prompt.
type crashingServers struct {
	list []*fakeServer
	// poison is the part, crash how a server ends an answer that it has begun.
	poison  string
	crash   func(r *received)
	crashed atomic.Int64
	// late counts the requests with the part that arrive after the fifth crash.
	late atomic.Int64
}

// allowedCrashes is the number of servers that may end before the limit on further
// requests applies, allowedLate that limit.
const (
	allowedCrashes = 5
	allowedLate    = 3
)

func newCrashingServers(t *testing.T, n int, poison string, crash func(r *received)) *crashingServers {
	t.Helper()
	s := &crashingServers{poison: poison, crash: crash}
	for i := range n {
		s.list = append(s.list, newFakeServer(t, fmt.Sprintf("s%02d", i), s.answerer()))
	}
	return s
}

// answerer returns the behavior of one server.
func (s *crashingServers) answerer() func(r *received) {
	var down atomic.Bool
	return func(r *received) {
		if down.Load() {
			_ = r.conn.Close()
			return
		}
		if !hasPart(r, s.poison) {
			serveEvents(3)(r)
			return
		}
		if s.crashed.Load() >= allowedCrashes {
			s.late.Add(1)
		}
		s.crashed.Add(1)
		down.Store(true)
		_ = r.ln.Close()
		s.crash(r)
		_ = r.conn.Close()
	}
}

// crashes are the ways in which a server can end under a request.
var crashes = map[string]func(r *received){
	"before its answer": func(*received) {},
	"after the head":    func(r *received) { r.beginStream() },
	"after an event":    func(r *received) { r.beginStream(); r.events(1) },
	"within an event":   func(r *received) { r.beginStream(); r.events(1); r.chunk("id: 2\nda") },
	"within an event of an unframed answer": func(r *received) {
		r.write("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\nda", r.header.Peek("Id"))
	},
}

// TestRequestsWithCrashingPromptPartStopReachingServers sends requests of which no two are
// alike, and sound ones that share their account and first part.
func TestRequestsWithCrashingPromptPartStopReachingServers(t *testing.T) {
	for name, crash := range crashes {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			servers := newCrashingServers(t, 30, "bad", crash)
			h.scribe(servers.list...)
			for i := range 20 {
				res := h.send("POST", "/draft/1", fmt.Sprint("poison ", i), "Parts", "base bad")
				_, _ = text(res)
				_, _ = text(h.send("POST", "/draft/1", fmt.Sprint("sound ", i), "Parts", "base other"))
			}
			require.LessOrEqual(t, servers.late.Load(), int64(allowedLate), "%d servers ended", servers.crashed.Load())
			for i := range 20 {
				body, whole := text(h.send("POST", "/draft/1", fmt.Sprint("later ", i), "Parts", "base other"))
				require.True(t, whole)
				require.Equal(t, wholeStream(3), body)
			}
			require.Equal(t, 503, h.send("POST", "/draft/1", "one more", "Parts", "base bad").StatusCode)
		})
	}
}
