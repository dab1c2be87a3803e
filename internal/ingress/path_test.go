package ingress

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

func echo(r *received) { r.ok(string(r.header.Method()) + " " + r.body) }

func TestRequestsPassUnchanged(t *testing.T) {
	h := newHarness(t)
	ledger := newFakeServer(t, "l1", echo)
	h.ledger(ledger)
	res := h.send("POST", "/post/a%2Fb?x=1&y=%20", "deposit", "Deadline", "900")
	body, whole := text(res)
	require.True(t, whole)
	require.Equal(t, "POST deposit", body)
	require.Equal(t, 200, res.StatusCode)
	require.Equal(t, "l1", res.Header.Get("Seal"))
	seen := ledger.requests[0]
	require.Equal(t, "/post/a%2Fb?x=1&y=%20", string(seen.header.RequestURI()))
	require.Equal(t, "shop", string(seen.header.Peek("Account")))
	require.Equal(t, "l1", string(seen.header.Peek("Instance")))
	require.Empty(t, seen.header.Peek("Key"), "keys are not forwarded")
	var left int
	_, err := fmt.Sscan(string(seen.header.Peek("Deadline")), &left)
	require.NoError(t, err)
	require.LessOrEqual(t, left, 900)
	require.Greater(t, left, 100)
}

func TestRefusalsOfTheEntry(t *testing.T) {
	cases := []struct {
		name   string
		setUp  func(*testing.T, *harness)
		path   string
		header []string
		status int
		code   string
	}{
		{"no publication", func(_ *testing.T, h *harness) { h.view.Publication = nil }, "/read/1", nil, 503, "no_publication"},
		{"no route", nil, "/nowhere/1", nil, 404, "no_route"},
		{"prefix without its slash", nil, "/read", nil, 404, "no_route"},
		{"unknown key", nil, "/read/1", []string{"Key", "other"}, 401, "unknown_key"},
		{"no key", nil, "/read/1", []string{"Key", ""}, 401, "unknown_key"},
		{"no server", nil, "/read/1", nil, 503, "no_server"},
		{"no replica of the model", nil, "/draft/1", []string{"Model", "other"}, 503, "no_model"},
		{"failure domain drained", func(t *testing.T, h *harness) {
			h.ledger(newFakeServer(t, "l1", echo))
			h.view.Domains = []api.Domain{{Name: "cairo", State: api.DomainDrained}}
		}, "/read/1", nil, 503, "no_server"},
		{"server left", func(t *testing.T, h *harness) {
			h.ledger(newFakeServer(t, "l1", echo))
			h.view.Departures = []api.Departure{{Host: "l1", Incarnation: 1}}
		}, "/read/1", nil, 503, "no_server"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			if c.setUp != nil {
				c.setUp(t, h)
			}
			h.apply()
			res := h.send("GET", c.path, "", c.header...)
			body, whole := text(res)
			require.True(t, whole)
			require.Equal(t, c.status, res.StatusCode, body)
			require.Contains(t, body, c.code)
			require.NotEmpty(t, res.Header.Get("Id"))
			require.Equal(t, c.status == 503, res.Header.Get("Retry-After") != "", "503 has a retry hint")
		})
	}
}

// TestOldViewRefusesTemporarily lets the confirmation by control expire. Requests with a
// known route are served; others get 503, as their routes or keys may be new.
func TestOldViewRefusesTemporarily(t *testing.T) {
	h := newHarness(t)
	h.server.cfg.Settings.MaxViewAge = time.Minute
	h.ledger(newFakeServer(t, "l1", echo))
	statuses := func() []int {
		return []int{
			h.send("GET", "/read/1", "").StatusCode,
			h.send("GET", "/nowhere/1", "").StatusCode,
			h.send("GET", "/read/1", "", "Key", "wrong").StatusCode,
		}
	}
	require.Equal(t, []int{200, 503, 503}, statuses(), "control has not confirmed the view")
	h.state.Confirm(time.Now())
	require.Equal(t, []int{200, 404, 401}, statuses())
	h.state.Confirm(time.Now().Add(-2 * time.Minute))
	require.Equal(t, []int{200, 503, 503}, statuses())
}

// TestUnreadablePublicationLeavesTheLastInForce serves on while control distributes data
// that this entry can't read.
func TestUnreadablePublicationLeavesTheLastInForce(t *testing.T) {
	h := newHarness(t)
	h.ledger(newFakeServer(t, "l1", echo))
	h.view.Publication = &api.PackedPublication{Version: 2, Data: []byte("unreadable")}
	h.apply()
	require.Equal(t, http.StatusOK, h.send("GET", "/read/1", "").StatusCode)
	require.Contains(t, h.logs.String(), "Unreadable publication ignored")
}

// TestRetryAfterBeforeFirstPublication covers a restart after a power loss everywhere:
// callers that come before the first publication get a Retry-After for when control
// usually has a leader again, spread over noRoutesJitter.
func TestRetryAfterBeforeFirstPublication(t *testing.T) {
	h := newHarness(t)
	h.view.Publication = nil
	h.apply()
	var soonest, latest float64
	for range 40 {
		res := h.send("GET", "/read/1", "")
		require.Equal(t, 503, res.StatusCode)
		wait, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		if soonest == 0 {
			soonest = wait
		}
		soonest, latest = min(soonest, wait), max(latest, wait)
	}
	require.GreaterOrEqual(t, soonest, noRoutesRetryAfter.Seconds())
	require.LessOrEqual(t, latest, (noRoutesRetryAfter + noRoutesJitter).Seconds())
	require.Greater(t, latest-soonest, noRoutesJitter.Seconds()/4)
}

func TestNewIncarnationOfDepartedServerServes(t *testing.T) {
	h := newHarness(t)
	h.ledger(newFakeServer(t, "l1", echo))
	h.view.Departures = []api.Departure{{Host: "l1", Incarnation: 1}}
	h.view.Servers[0].Incarnation = 2
	h.apply()
	require.Equal(t, 200, h.send("GET", "/read/1", "").StatusCode)
}

// TestOnceRouteRunsOnce makes the first server fail after it has read a request.
func TestOnceRouteRunsOnce(t *testing.T) {
	cases := []struct {
		name string
		fail func(*received)
		// status is that of a request that may run once, repeated that of one that may
		// run again.
		status, repeated int
	}{
		{"closed without an answer", func(r *received) { _ = r.conn.Close() }, 502, 200},
		{"cut answer", func(r *received) {
			r.write("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: 9\r\n\r\nhalf", r.header.Peek("Id"))
			_ = r.conn.Close()
		}, 502, 200},
		{"not HTTP", func(r *received) { r.write("rubbish\r\n\r\n"); _ = r.conn.Close() }, 502, 200},
		{"answer without a seal", func(r *received) { r.status(200, "") }, 502, 200},
		{"status 500", func(r *received) { r.status(500, "Seal: s\r\n") }, 500, 200},
		{"refused", func(r *received) { r.status(503, "Refused: 1\r\n") }, 200, 200},
		{"another server at the address", func(r *received) { r.status(421, "") }, 200, 200},
	}
	for _, c := range cases {
		for _, path := range []string{"/post/1", "/read/1"} {
			t.Run(c.name+path, func(t *testing.T) {
				h := newHarness(t)
				bad, good := newFakeServer(t, "a-bad", c.fail), newFakeServer(t, "b-good", echo)
				h.ledger(bad, good)
				// Load on the good server makes the pool prefer the bad one.
				pool := h.server.state.pool("ledger")
				for range 3 {
					busy := placeOn(t, pool, "b-good", 0)
					defer pool.Release(busy)
				}
				res := h.send("POST", path, "x")
				want := c.status
				if path == "/read/1" {
					want = c.repeated
				}
				require.Equal(t, want, res.StatusCode, h.logs.String())
				require.Equal(t, int64(1), bad.arrived.Load())
				if want == 502 {
					require.Zero(t, good.arrived.Load(), "it may have run")
				}
			})
		}
	}
}

// TestFailureOfEveryServer forwards the answer of the last server instead of a refusal
// by the entry.
func TestFailureOfEveryServer(t *testing.T) {
	h := newHarness(t)
	fail := func(r *received) { r.status(500, "Seal: "+r.name+"\r\n") }
	h.ledger(newFakeServer(t, "l1", fail), newFakeServer(t, "l2", fail))
	res := h.send("GET", "/read/1", "")
	require.Equal(t, 500, res.StatusCode)
	require.NotEmpty(t, res.Header.Get("Seal"))
}

func TestRefusedEverywhereIsRefused(t *testing.T) {
	h := newHarness(t)
	refuse := func(r *received) { r.status(503, "Refused: 1\r\n") }
	h.ledger(newFakeServer(t, "l1", refuse), newFakeServer(t, "l2", refuse))
	res := h.send("POST", "/post/1", "x")
	require.Equal(t, 503, res.StatusCode, "no server ran it")
}

// TestRouteTimeout expects an answer in time although the server sends none.
func TestRouteTimeout(t *testing.T) {
	h := newHarness(t)
	slow := newFakeServer(t, "l1", hang)
	h.ledger(slow)
	began := time.Now()
	res := h.send("GET", "/open/1", "", "Key", "")
	require.Equal(t, 504, res.StatusCode)
	require.Less(t, time.Since(began), 900*time.Millisecond, "the route allows 400 ms")
	requireGone(t, slow)
}

// requireGone requires that the work of the only request at a server was stopped.
func requireGone(t *testing.T, s *fakeServer) {
	t.Helper()
	require.Eventually(t, func() bool { return s.arrived.Load() == 1 }, waitFor, time.Millisecond)
	s.mu.Lock()
	seen := s.requests[0]
	s.mu.Unlock()
	select {
	case <-seen.gone:
	case <-time.After(waitFor):
		t.Fatal("the server still works on the request")
	}
}

// TestCallerDisconnectStopsWork closes the caller's connection before the first byte of
// the answer, and in the middle of a stream.
func TestCallerDisconnectStopsWork(t *testing.T) {
	stream := func(r *received) {
		r.beginStream()
		r.events(2)
		<-r.gone
	}
	for _, c := range []struct {
		name, path string
		answer     func(*received)
		read       string
	}{
		{"before the answer", "/read/1", hang, ""},
		{"before the first event", "/draft/1", hang, ""},
		{"within a stream", "/draft/1", stream, "word 2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			server := newFakeServer(t, "s1", c.answer)
			h.ledger(server)
			h.scribe(server)
			conn, err := net.Dial("tcp", h.ln.Addr().String())
			require.NoError(t, err)
			_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nId: r\r\nKey: %s\r\nModel: %s\r\n\r\n", c.path, testHost, testKey, testModel)
			require.NoError(t, err)
			require.Eventually(t, func() bool { return server.arrived.Load() == 1 }, waitFor, time.Millisecond)
			readUntil(t, conn, c.read)
			left := time.Now()
			require.NoError(t, conn.Close())
			requireGone(t, server)
			require.Less(t, time.Since(left), 500*time.Millisecond)
			require.Eventually(t, func() bool { return h.server.Active() == 0 }, waitFor, time.Millisecond)
			require.Contains(t, h.logs.String(), "outcome=left")
		})
	}
}

func readUntil(t *testing.T, conn net.Conn, wanted string) {
	t.Helper()
	var got strings.Builder
	buffer := make([]byte, 4096)
	for !strings.Contains(got.String(), wanted) {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitFor)))
		n, err := conn.Read(buffer)
		require.NoError(t, err)
		got.Write(buffer[:n])
	}
}

// TestConnectionIsReused sends several requests on one connection, which must stay
// usable after the watch for the caller's close has ended.
func TestConnectionIsReused(t *testing.T) {
	h := newHarness(t)
	h.ledger(newFakeServer(t, "l1", echo))
	h.scribe(newFakeServer(t, "s1", func(r *received) { r.beginStream(); r.events(3); r.endStream() }))
	transport := &http.Transport{MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: waitFor}
	for i := range 6 {
		path := "/read/1"
		if i%2 == 1 {
			path = "/draft/1"
		}
		req, err := http.NewRequestWithContext(t.Context(), "GET", "http://"+h.ln.Addr().String()+path, nil)
		require.NoError(t, err)
		req.Host = testHost
		req.Header.Set("Id", fmt.Sprint("k", i))
		req.Header.Set("Key", testKey)
		req.Header.Set("Model", testModel)
		res, err := client.Do(req)
		require.NoError(t, err)
		_, whole := textOf(res.Body)
		require.True(t, whole)
		require.Equal(t, 200, res.StatusCode)
		require.NoError(t, res.Body.Close())
	}
}

func TestLeavingEntryClosesConnections(t *testing.T) {
	h := newHarness(t)
	h.ledger(newFakeServer(t, "l1", echo))
	h.state.SetLeaving()
	res := h.send("GET", "/read/1", "")
	require.Equal(t, 200, res.StatusCode, "a leaving entry still serves requests")
	require.True(t, res.Close)
}
