package ingress

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/crashes"
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

// waysToCrash are the ways in which a server can end under a request.
var waysToCrash = map[string]func(r *received){
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
	for name, crash := range waysToCrash {
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

// TestCrashingRequestIsRefused sends one content repeatedly under new ids. Each server
// that runs it crashes.
func TestCrashingRequestIsRefused(t *testing.T) {
	h := newHarness(t)
	crashing := func(r *received) {
		if r.body == "poison" {
			_ = r.conn.Close()
			return
		}
		echo(r)
	}
	servers := make([]*fakeServer, 0, 6)
	for i := range 6 {
		servers = append(servers, newFakeServer(t, fmt.Sprint("l", i), crashing))
	}
	h.ledger(servers...)
	for range 12 {
		require.Contains(t, []int{502, 503}, h.send("POST", "/read/1", "poison").StatusCode)
	}
	arrived := int64(0)
	for _, s := range servers {
		arrived += s.arrived.Load()
	}
	require.LessOrEqual(t, arrived, int64(crashes.Limit+1), "no more than one beyond the limit: two attempts ran at once")
	require.Equal(t, 200, h.send("POST", "/read/1", "wholesome").StatusCode)
	require.Equal(t, 503, h.send("POST", "/read/1", "poison").StatusCode)
}

// quarantineControl answers calls about quarantines and records them.
type quarantineControl struct {
	mu      sync.Mutex
	calls   []api.QuarantineAction
	granted bool
	err     error
}

func (c *quarantineControl) Call(_ context.Context, method api.Method, params, result any) error {
	if method != api.MethodQuarantine {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	request, _ := params.(api.QuarantineRequest)
	c.calls = append(c.calls, request.Action)
	if res, ok := result.(*api.QuarantineResponse); ok && request.Action == api.QuarantineTry {
		res.Granted, res.RetryAfterMillis = c.granted, 20_000
	}
	return c.err
}

func (c *quarantineControl) count(action api.QuarantineAction) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, a := range c.calls {
		if a == action {
			n++
		}
	}
	return n
}

// newQuarantineHarness is an entry that has just started, with a quarantine in its view.
func newQuarantineHarness(t *testing.T, control *quarantineControl) *harness {
	t.Helper()
	h := newHarness(t)
	h.server.cfg.Control = control
	h.view.Quarantines = []api.Quarantine{{Fingerprint: "part/bad", Keys: []string{"part/bad"}, Deaths: 3, UntilUnixMillis: 1}}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = h.server.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return h
}

func TestRestartedEntryKnowsQuarantines(t *testing.T) {
	control := &quarantineControl{}
	h := newQuarantineHarness(t, control)
	servers := newCrashingServers(t, 4, "bad", func(*received) {})
	h.scribe(servers.list...)
	for range 10 {
		res := h.send("POST", "/draft/1", "poison", "Parts", "base bad")
		require.Equal(t, 503, res.StatusCode)
		require.NotEmpty(t, res.Header.Get("Retry-After"))
	}
	require.Zero(t, servers.crashed.Load())
	require.Equal(t, 1, control.count(api.QuarantineTry), "control has said when the trial is due")
	body, whole := text(h.send("POST", "/draft/1", "sound", "Parts", "base other"))
	require.True(t, whole)
	require.Equal(t, wholeStream(3), body)
}

// TestQuarantineHoldsWithoutControl asks for a trial while control can't be reached.
func TestQuarantineHoldsWithoutControl(t *testing.T) {
	h := newQuarantineHarness(t, &quarantineControl{err: errNoPeers, granted: true})
	servers := newCrashingServers(t, 4, "bad", func(*received) {})
	h.scribe(servers.list...)
	require.Equal(t, 503, h.send("POST", "/draft/1", "poison", "Parts", "base bad").StatusCode)
	require.Zero(t, servers.crashed.Load())
}

func TestTrialOfACauseRunsOnOneServer(t *testing.T) {
	control := &quarantineControl{granted: true}
	h := newQuarantineHarness(t, control)
	servers := newCrashingServers(t, 4, "bad", func(*received) {})
	h.scribe(servers.list...)
	require.Equal(t, 502, h.send("POST", "/draft/1", "poison", "Parts", "base bad").StatusCode)
	require.EqualValues(t, 1, servers.crashed.Load())
	require.Eventually(t, func() bool { return control.count(api.QuarantineExtend) == 1 }, waitFor, 10*time.Millisecond)
	require.Equal(t, 503, h.send("POST", "/draft/1", "poison", "Parts", "base bad").StatusCode, "no second question at once")
	require.EqualValues(t, 1, servers.crashed.Load())
	require.Zero(t, control.count(api.QuarantineLift))
}

func TestHarmlessTrialLiftsTheQuarantine(t *testing.T) {
	control := &quarantineControl{granted: true}
	h := newQuarantineHarness(t, control)
	h.scribe(newFakeServer(t, "s1", serveEvents(3)))
	body, whole := text(h.send("POST", "/draft/1", "sound", "Parts", "base bad"))
	require.True(t, whole)
	require.Equal(t, wholeStream(3), body)
	require.Eventually(t, func() bool { return control.count(api.QuarantineLift) > 0 }, waitFor, 10*time.Millisecond)
	require.Zero(t, control.count(api.QuarantineExtend))
}

func TestVerdictIsReportedToControlUntilItAnswers(t *testing.T) {
	control := &quarantineControl{err: errNoPeers}
	h := newQuarantineHarness(t, control)
	servers := newCrashingServers(t, 10, "worse", func(*received) {})
	h.scribe(servers.list...)
	for i := range 5 {
		h.send("POST", "/draft/1", fmt.Sprint("poison ", i), "Parts", "base worse")
		_, _ = text(h.send("POST", "/draft/1", fmt.Sprint("sound ", i), "Parts", "base other"))
	}
	require.Eventually(t, func() bool { return control.count(api.QuarantineImpose) > 1 }, waitFor, 10*time.Millisecond)
	control.mu.Lock()
	control.err = nil
	control.mu.Unlock()
	require.Eventually(t, func() bool { return len(h.server.crashes.Unconfirmed(time.Now())) == 0 }, waitFor, 10*time.Millisecond)
}
