package ingress

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// brokenHeads are heads of answers that violate HTTP/1.1, each with "{id}" for the ID of the
// request. A body of two bytes follows.
var brokenHeads = map[string]string{
	"status 000": "HTTP/1.1 000 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\n",
	"status 099": "HTTP/1.1 099 OK\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\n",
	"status 600": "HTTP/1.1 600 X\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\n",
	"status 999": "HTTP/1.1 999 X\r\nId: {id}\r\nSeal: s\r\nContent-Length: 2\r\n\r\n",
}

// TestBrokenAnswersReachNoCaller expects the answer of another server where the request may run
// again, else 502: it may have run.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	for name, head := range brokenHeads {
		for _, c := range []struct {
			path   string
			status int
			body   string
		}{
			{"/read/1", http.StatusOK, "POST x"},
			{"/post/1", http.StatusBadGateway, ""},
			{"/draft/1", http.StatusOK, wholeStream(2)},
			{"/once/1", http.StatusBadGateway, ""},
		} {
			t.Run(name+c.path, func(t *testing.T) {
				t.Parallel()
				h := newHarness(t)
				broken := func(r *received) {
					answer := strings.ReplaceAll(head, "{id}", string(r.header.Peek("Id")))
					if c.path == "/draft/1" || c.path == "/once/1" {
						answer = strings.Replace(answer, "\r\n", "\r\nContent-Type: text/event-stream\r\n", 1)
					}
					r.write("%sok", answer)
				}
				bad := newFakeServer(t, "a-bad", broken)
				h.ledger(bad, newFakeServer(t, "b-good", echo))
				for range 3 {
					busy := placeOn(t, h.server.state.pool("ledger"), "b-good", 0)
					defer h.server.state.pool("ledger").Release(busy)
				}
				badReplica := newFakeServer(t, "a-bad", broken)
				h.scribe(badReplica, newFakeServer(t, "b-good", serveEvents(2)))
				h.loadGoodReplica()
				res := h.send("POST", c.path, "x", "Prompt", "10")
				body, whole := text(res)
				require.True(t, whole)
				require.Equal(t, c.status, res.StatusCode, h.logs.String())
				if c.body != "" {
					require.Equal(t, c.body, body)
				}
				require.Equal(t, int64(1), bad.arrived.Load()+badReplica.arrived.Load())
			})
		}
	}
}
