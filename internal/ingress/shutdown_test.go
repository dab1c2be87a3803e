package ingress

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestShutdownTakesNoRequestThatMayBeCut guards against an entry that accepts a request shortly
// before it exits and closes the connection without the whole answer.
func TestShutdownTakesNoRequestThatMayBeCut(t *testing.T) {
	const least = 3 * time.Second
	for name, c := range map[string]struct {
		left     time.Duration
		deadline string
		status   int
	}{
		"ends before the exit":      {least / 3, "500", 200},
		"enough time left":          {2 * least, "9000", 200},
		"may last beyond the exit":  {least - 100*time.Millisecond, "4000", 503},
		"in the last moment before": {10 * time.Millisecond, "4000", 503},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			scribe := newFakeServer(t, "s1", serveEvents(3))
			h.scribe(scribe)
			h.server.BeginShutdown(time.Now().Add(c.left), least)
			h.state.SetLeaving()
			res := h.send("POST", "/draft/1", "prompt", "Deadline", c.deadline)
			require.Equal(t, c.status, res.StatusCode)
			require.True(t, res.Close)
			if c.status == 503 {
				require.NotEmpty(t, res.Header.Get("Retry-After"))
				require.Zero(t, scribe.arrived.Load(), "a refused request has not run")
			}
		})
	}
}

// heldConn holds back every write that ends with a given text until the test releases it, like
// the connection of a caller that does not read.
type heldConn struct {
	net.Conn
	end     []byte
	reached chan<- struct{}
	release <-chan struct{}
}

func (c *heldConn) Write(p []byte) (int, error) {
	if bytes.HasSuffix(p, c.end) {
		c.reached <- struct{}{}
		<-c.release
	}
	return c.Conn.Write(p)
}

// heldListener accepts connections as copies of conn.
type heldListener struct {
	net.Listener
	conn heldConn
}

func (l *heldListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := l.conn
	conn.Conn = accepted
	return &conn, nil
}

// TestShutdownWaitsForLastByteOfAnswer guards against an exit between the end of a request in
// the handler and the write of the last bytes of its answer.
func TestShutdownWaitsForLastByteOfAnswer(t *testing.T) {
	for name, c := range map[string]struct{ path, end string }{
		"whole answer": {"/read/1", "the last word"},
		"stream":       {"/draft/1", "0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.ledger(newFakeServer(t, "l1", func(r *received) { r.ok("the last word") }))
			h.scribe(newFakeServer(t, "s1", serveEvents(3)))
			reached, release := make(chan struct{}), make(chan struct{})
			h.listen(func(ln net.Listener) net.Listener {
				return &heldListener{Listener: ln, conn: heldConn{end: []byte(c.end), reached: reached, release: release}}
			})
			whole := make(chan bool)
			go func() {
				_, ok := text(h.send("POST", c.path, "prompt"))
				whole <- ok
			}()
			<-reached
			require.False(t, drains(t, h.server, 200*time.Millisecond), "the last bytes are not written yet")
			close(release)
			require.True(t, <-whole)
			require.True(t, drains(t, h.server, waitFor))
		})
	}
}

// drains reports whether a drain ends before the timeout.
func drains(t *testing.T, s *Server, timeout time.Duration) bool {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	s.Drain(ctx)
	return ctx.Err() == nil
}

// TestShutdownRunsNoRequestAfterItsLastWait guards against an entry that accepts a request on a
// kept connection after the last wait for requests, and then exits.
func TestShutdownRunsNoRequestAfterItsLastWait(t *testing.T) {
	h := newHarness(t)
	server := newFakeServer(t, "l1", func(r *received) { r.ok("book") })
	h.ledger(server)
	h.server.BeginShutdown(time.Now().Add(waitFor), 3*time.Second)
	h.state.SetLeaving()
	require.Equal(t, 200, h.send("POST", "/read/1", "").StatusCode)
	require.True(t, drains(t, h.server, waitFor))
	res := h.send("POST", "/read/1", "")
	require.Equal(t, 503, res.StatusCode)
	require.NotEmpty(t, res.Header.Get("Retry-After"))
	require.True(t, res.Close)
	require.EqualValues(t, 1, server.arrived.Load(), "a refused request has not run")
}

// TestDrainAdmitsOnlyWhatItWaitsFor guards against a request that begins between the end of the
// wait and the end of admission.
func TestDrainAdmitsOnlyWhatItWaitsFor(t *testing.T) {
	for range 50 {
		p := newProgress()
		var drained atomic.Bool
		var callers sync.WaitGroup
		for range 2 {
			conn, other := net.Pipe()
			t.Cleanup(func() { _, _ = conn.Close(), other.Close() })
			callers.Go(func() {
				for p.begin(conn, time.Now()) {
					if drained.Load() {
						t.Error("a request is admitted after the drain")
					}
					runtime.Gosched()
					if drained.Load() {
						t.Error("the drain ended during a request")
					}
					p.end(conn)
					time.Sleep(50 * time.Microsecond)
				}
				p.end(conn)
			})
		}
		ctx, cancel := context.WithTimeout(t.Context(), waitFor)
		p.drain(ctx)
		require.NoError(t, ctx.Err())
		cancel()
		drained.Store(true)
		callers.Wait()
		require.Zero(t, p.count())
	}
}

// TestExitAnswersRequestsThatHaveNotEnded guards against an exit that closes the connections of
// requests that still wait for a server, or for its answer.
func TestExitAnswersRequestsThatHaveNotEnded(t *testing.T) {
	h := newHarness(t)
	server := newFakeServer(t, "l1", hang)
	h.ledger(server)
	h.view.Servers[0].Slots = 1
	h.apply()
	answers := make(chan answer, 2)
	for _, id := range []string{"runs", "waits"} {
		go func() { answers <- h.send("POST", "/post/1", "", "Id", id) }()
		require.Eventually(t, func() bool { return server.arrived.Load() > 0 }, waitFor, time.Millisecond)
	}
	require.Eventually(t, func() bool { return h.server.Active() == 2 }, waitFor, time.Millisecond)
	require.False(t, drains(t, h.server, 100*time.Millisecond))
	h.server.Cut()
	require.True(t, drains(t, h.server, time.Second))
	statuses := make(map[string]int)
	for range 2 {
		res := <-answers
		statuses[res.Header.Get("Id")] = res.StatusCode
		require.Equal(t, res.StatusCode == 503, res.Header.Get("Retry-After") != "")
	}
	require.Equal(t, map[string]int{"runs": 502, "waits": 503}, statuses)
	require.EqualValues(t, 1, server.arrived.Load(), "a request that waits has not run")
	require.Equal(t, 2, strings.Count(h.logs.String(), "reason=entry_leaving"))
}

// TestRequestsCutByTheExitAreLogged guards against a cut request that no line of the log names.
func TestRequestsCutByTheExitAreLogged(t *testing.T) {
	h := newHarness(t)
	server := newFakeServer(t, "l1", hang)
	h.ledger(server)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.send("POST", "/read/1", "", "Id", "hung", "Deadline", "1500")
	}()
	require.Eventually(t, func() bool { return server.arrived.Load() > 0 }, waitFor, time.Millisecond)
	require.False(t, drains(t, h.server, time.Millisecond))
	h.server.Cut()
	require.Regexp(t, `msg="Request cut by the exit" request=hung route=read total_ms=\d+ deadline_ms=1500 stage=running`, h.logs.String())
	<-ended
}

// TestShutdownWaitsForRequestWhoseBodyStillComes guards against an exit that cuts an upload.
func TestShutdownWaitsForRequestWhoseBodyStillComes(t *testing.T) {
	h := newHarness(t)
	h.ledger(newFakeServer(t, "l1", func(r *received) { r.ok(r.body) }))
	conn, err := net.Dial("tcp", h.ln.Addr().String())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	write := func(text string) {
		_, err := conn.Write([]byte(text))
		require.NoError(t, err)
	}
	write("POST /read/1 HTTP/1.1\r\nHost: " + testHost + "\r\nKey: " + testKey + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n")
	require.Eventually(t, func() bool { return h.server.Active() == 1 }, time.Second, time.Millisecond)
	drained := make(chan bool)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitFor)
		defer cancel()
		h.server.Drain(ctx)
		drained <- ctx.Err() == nil
	}()
	select {
	case <-drained:
		t.Error("the body still comes")
	case <-time.After(100 * time.Millisecond):
	}
	write("4\r\n, it\r\n0\r\n\r\n")
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	body, whole := textOf(res.Body)
	require.True(t, whole)
	require.Equal(t, "half, it", body)
	require.True(t, <-drained)
}
