package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/crashes"
	"github.com/crocusway/crocusway/internal/testkit"
)

// brokenAnswers violate HTTP/1.1. They have "{id}" for the ID of the request.
var brokenAnswers = map[string]string{
	"status 000": brokenAnswer("000 OK", "Content-Length: 2\r\n\r\nok"),
	"status 099": brokenAnswer("099 OK", "Content-Length: 2\r\n\r\nok"),
	"status 600": brokenAnswer("600 X", "Content-Length: 2\r\n\r\nok"),
	"status 999": brokenAnswer("999 X", "Content-Length: 2\r\n\r\nok"),

	"blank in a name":         brokenAnswer("200 OK", "X Bad: 1\r\nContent-Length: 2\r\n\r\nok"),
	"control byte in a name":  brokenAnswer("200 OK", "X\x01Bad: 1\r\nContent-Length: 2\r\n\r\nok"),
	"LF before a name":        brokenAnswer("200 OK", "Content-Length: 2\r\n\nX-Bad: 1\r\n\r\nok"),
	"blank after the length":  brokenAnswer("200 OK", "Content-Length : 1\r\n\r\nok"),
	"blank before the length": brokenAnswer("200 OK", "X: 1\r\n Content-Length: 2\r\n\r\nok"),

	"control byte in the reason": brokenAnswer("200 O\x01K", "Content-Length: 2\r\n\r\nok"),
	"chunks of HTTP/1.0":         "HTTP/1.0 200 OK\r\nId: {id}\r\nSeal: s\r\nConnection: keep-alive\r\nContent-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"chunk size with a sign":     brokenAnswer("200 OK", "Transfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n"),
	"trailer line without name":  brokenAnswer("200 OK", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nrubbish\r\n\r\n"),
}

func brokenAnswer(status, rest string) string {
	return "HTTP/1.1 " + status + "\r\nId: {id}\r\nSeal: s\r\n" + rest
}

// TestBrokenAnswersReachNoCaller expects the answer of another server where the request may run
// again, else 502: it may have run.
func TestBrokenAnswersReachNoCaller(t *testing.T) {
	for name, template := range brokenAnswers {
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
					answer := strings.ReplaceAll(template, "{id}", string(r.header.Peek("Id")))
					if c.path == "/draft/1" || c.path == "/once/1" {
						answer = strings.Replace(answer, "\r\n", "\r\nContent-Type: text/event-stream\r\n", 1)
					}
					r.write("%s", answer)
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

// TestPartOfAnswerReachesNoCallerAsWhole guards against an answer without a length that its server
// breaks off with a reset while the request is still being written.
func TestPartOfAnswerReachesNoCallerAsWhole(t *testing.T) {
	const uploadSize = 16 << 20
	for _, c := range []struct {
		path, head string
		// status is that of a part of an answer: a stream has begun when it is broken off.
		status int
	}{
		{"/post/1", "HTTP/1.1 200 OK\r\nSeal: s\r\n\r\n", http.StatusBadGateway},
		{"/once/1", "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n", http.StatusOK},
	} {
		for name, ended := range map[string]bool{"reset": false, "ended and then reset": true} {
			t.Run(name+c.path, func(t *testing.T) {
				for _, dial := range []dialFunc{nil, testkit.DialWriteFirst} {
					h := newEntry(t, api.EntryInfo{ID: "e1", Incarnation: 1, Domain: "cairo"}, backend.Config{Dial: dial})
					h.server.cfg.Settings.MaxBodyBytes = 2 * uploadSize
					h.listen(func(ln net.Listener) net.Listener { return ln })
					server := newRawServer(t, func(conn *net.TCPConn) {
						_, _ = io.WriteString(conn, c.head+event(1))
						if ended {
							_ = conn.CloseWrite()
						}
						_ = conn.SetLinger(0)
					})
					h.ledger(server)
					h.scribe(server)
					res := h.send("POST", c.path, strings.Repeat("b", uploadSize), "Prompt", "10")
					body, whole := text(res)
					if ended {
						require.True(t, whole, h.logs.String())
						require.Equal(t, http.StatusOK, res.StatusCode)
						require.Equal(t, event(1), body)
						continue
					}
					require.Equal(t, c.status, res.StatusCode, h.logs.String())
					require.Equal(t, c.status == http.StatusBadGateway, whole, "a stream was passed on as whole: %q", body)
				}
			})
		}
	}
}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// newRawServer returns a backend server that answers each connection after the first bytes of its
// request, and then closes it.
func newRawServer(t *testing.T, answer func(c *net.TCPConn)) *fakeServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer func() { _ = c.Close() }()
				if _, err := c.Read(make([]byte, 64)); err == nil {
					answer(c.(*net.TCPConn))
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		wg.Wait()
	})
	return &fakeServer{name: "raw", ln: ln}
}

// TestBrokenAnswerOfEntryRepeatsNothing guards against a refusal by another entry that does not say
// how often the request ran, and counts as not run.
func TestBrokenAnswerOfEntryRepeatsNothing(t *testing.T) {
	for name, c := range map[string]struct {
		status, fields string
		// declined is set for an answer that lets a third entry serve the request.
		declined bool
	}{
		"declined":           {"503 X", headerForwardedCode + ": links_lost\r\n" + headerForwardedRuns + ": 0\r\n", true},
		"no runs":            {"503 X", headerForwardedCode + ": links_lost\r\n", false},
		"empty runs":         {"503 X", headerForwardedCode + ": links_lost\r\n" + headerForwardedRuns + ":\r\n", false},
		"unreadable runs":    {"503 X", headerForwardedCode + ": links_lost\r\n" + headerForwardedRuns + ": none\r\n", false},
		"negative runs":      {"503 X", headerForwardedCode + ": links_lost\r\n" + headerForwardedRuns + ": -1\r\n", false},
		"signed runs":        {"503 X", headerForwardedCode + ": links_lost\r\n" + headerForwardedRuns + ": +0\r\n", false},
		"refusal, no runs":   {"503 X", headerForwardedCode + ": overloaded\r\n", false},
		"not found, no runs": {"404 X", headerForwardedCode + ": no_route\r\n", false},
		"invalid status":     {"000 X", headerForwardedCode + ": links_lost\r\n" + headerForwardedRuns + ": 0\r\n", false},
		"blank in a name":    {"503 X", headerForwardedCode + ": links_lost\r\n" + headerForwardedRuns + " : 0\r\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ledger := newFakeServer(t, "l1", serveDone)
			g := cutFirst(t, 3, oneOfEach(ledger, newFakeServer(t, "s1", serveEvents(3))))
			second := newFakeServer(t, "e2", func(r *received) {
				r.write("HTTP/1.1 %s\r\nId: %s\r\n%sContent-Length: 0\r\n\r\n", c.status, r.header.Peek("Id"), c.fields)
			})
			infos := slices.Clone(g.entries[0].view.Entries)
			infos[1].ForwardAddress = second.ln.Addr().String()
			// The third entry is taken only if the second one declines.
			infos[2].Leaving = true
			g.entries[0].view.Entries = infos
			g.entries[0].apply()
			res := g.entries[0].send("POST", "/post/1", "deposit")
			require.Equal(t, int64(1), second.arrived.Load())
			if c.declined {
				require.Equal(t, http.StatusOK, res.StatusCode, g.logs())
				return
			}
			require.Equal(t, http.StatusBadGateway, res.StatusCode, g.logs())
			require.Zero(t, ledger.arrived.Load(), "it may have run")
		})
	}
}

// TestBrokenAnswerIsNoCrash guards against a quarantine of sound requests that servers in trouble
// have answered: a server that answers has not crashed.
func TestBrokenAnswerIsNoCrash(t *testing.T) {
	for name, template := range brokenAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newHarness(t)
			for i := range 2 * crashes.Limit {
				h.ledger(newFakeServer(t, fmt.Sprint("l", i), func(r *received) {
					r.write("%s", strings.ReplaceAll(template, "{id}", string(r.header.Peek("Id"))))
				}))
				require.Equal(t, http.StatusBadGateway, h.send("POST", "/post/1", "deposit").StatusCode, h.logs.String())
			}
			h.ledger(newFakeServer(t, "sound", echo))
			require.Equal(t, http.StatusOK, h.send("POST", "/post/1", "deposit").StatusCode, h.logs.String())
			require.NotContains(t, h.logs.String(), "Server may have crashed")
		})
	}
}
