package ingress

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endless writes parts until the entry closes the connection.
func (r *received) endless(pause time.Duration, part string) {
	for {
		select {
		case <-r.gone:
			return
		case <-time.After(pause):
		}
		if _, err := r.conn.Write([]byte(part)); err != nil {
			return
		}
	}
}

// endlessServer sends bytes that are no answer until the entry closes the connection, in
// place of the head or after it. A flood has no pause between its parts, a trickle one
// that is shorter than a poll interval.
type endlessServer struct {
	name           string
	inHead, inBody string
	pause          time.Duration
}

var endlessServers = []endlessServer{
	{"flood of bytes", strings.Repeat("x", 4096), "", 0},
	{"flood of lines", strings.Repeat("x\r\n", 1024), "", 0},
	{"flood of empty lines", strings.Repeat("\r\n", 2048), "", 0},
	{"flood of one header", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 4096), "", 0},
	{"flood of interim responses", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100), "", 0},
	{"flood of responses to others", strings.Repeat("HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 3\r\n\r\nabc", 100), "", 0},
	{"flood of a response to another", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n" + strings.Repeat("x", 4096), "", 0},
	{"trickle of bytes", "x", "", pollInterval / 5},
	{"trickle of empty lines", "\r\n", "", pollInterval / 5},
	{"trickle of interim responses", "HTTP/1.1 100 Continue\r\n\r\n", "", pollInterval / 5},
	{"flood of chunk size digits", "", strings.Repeat("1", 4096), 0},
	{"flood of a chunk extension", "", "5;" + strings.Repeat("x", 4096), 0},
	{"flood of trailer lines", "", "0\r\n" + strings.Repeat("X: x\r\n", 512), 0},
	{"flood of one event", "", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n", 0},
	{"flood of lines of one event", "", "1000\r\n" + strings.Repeat("x:\n", 4096/4) + strings.Repeat("y", 1024) + "\r\n", 0},
	{"flood of events without id", "", "1000\r\n" + strings.Repeat(":x\n\n", 4096/4) + "\r\n", 0},
	{"trickle of one event", "", "1\r\nx\r\n", pollInterval / 5},
	{"trickle of events without id", "", "4\r\n:x\n\n\r\n", pollInterval / 5},
}

// TestStreamLeavesServersThatSendEndlessly expects the whole stream of another replica,
// long before the deadline.
func TestStreamLeavesServersThatSendEndlessly(t *testing.T) {
	for _, c := range endlessServers {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			closed := make(chan struct{})
			bad := newFakeServer(t, "a-bad", func(r *received) {
				defer close(closed)
				if c.inHead == "" {
					r.beginStream()
				}
				r.endless(c.pause, c.inHead+c.inBody)
				<-r.gone
			})
			h.scribe(bad, newFakeServer(t, "b-good", serveEvents(6)))
			h.loadGoodReplica()
			began := time.Now()
			body, whole := text(h.send("POST", "/draft/1", "prompt", "Prompt", "10"))
			require.True(t, whole, h.logs.String())
			require.Equal(t, wholeStream(6), body)
			require.Less(t, time.Since(began), requestStallTimeout+time.Second)
			require.Equal(t, int64(1), bad.arrived.Load())
			select {
			case <-closed:
			case <-time.After(waitFor):
				t.Fatal("the connection to the endless server is still open")
			}
		})
	}
}

// TestCallLeavesServersThatFlood expects the answer of another server within the timeout
// of the route.
func TestCallLeavesServersThatFlood(t *testing.T) {
	servers := append(slices.Clone(endlessServers), endlessServer{
		name: "flood of a body without a length", inHead: "HTTP/1.1 200 OK\r\nSeal: bad\r\n\r\n" + strings.Repeat("x", 1<<16),
	})
	for _, c := range servers {
		if c.pause > 0 || strings.Contains(c.name, "event") {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			// The time to read the default limit depends on the machine.
			h.server.maxAnswer = 1 << 20
			flood := func(r *received) {
				if c.inHead == "" {
					r.write("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: bad\r\nTransfer-Encoding: chunked\r\n\r\n", r.header.Peek("Id"))
				}
				r.endless(0, c.inHead+c.inBody)
			}
			h.ledger(newFakeServer(t, "a-bad", flood))
			bad := h.send("GET", "/read/1", "")
			require.Equal(t, http.StatusBadGateway, bad.StatusCode, "not only after the timeout of the route")
			h.ledger(newFakeServer(t, "b-good", echo))
			for range 4 {
				require.Equal(t, http.StatusOK, h.send("GET", "/read/1", "").StatusCode, h.logs.String())
			}
		})
	}
}

func TestBufferedAnswersAreBoundedTogether(t *testing.T) {
	const size = 200
	h := newHarness(t)
	h.ledger(newFakeServer(t, "a", func(r *received) { r.ok(strings.Repeat("x", size)) }))
	released := func() bool { return h.server.answers.used.Load() == 0 }
	h.server.answers.limit = size
	require.Equal(t, http.StatusOK, h.send("GET", "/open/1", "").StatusCode)
	require.Eventually(t, released, waitFor, time.Millisecond)
	h.server.answers.limit = size - 1
	require.Equal(t, http.StatusBadGateway, h.send("GET", "/open/1", "").StatusCode)
	require.Eventually(t, released, waitFor, time.Millisecond)
}
