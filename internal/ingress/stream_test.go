package ingress

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/placement"
)

// placeOn gets a placement on one target of a pool.
func placeOn(t testing.TB, pool *placement.Pool, id string, prompt int) *placement.Placement {
	t.Helper()
	var others []string
	for {
		d := placement.Demand{Prompt: prompt, Deadline: time.Now().Add(time.Hour), Exclude: others}
		pl, err := pool.Acquire(t.Context(), d)
		require.NoError(t, err)
		if pl.Target.ID == id {
			return pl
		}
		pool.Release(pl)
		others = append(others, pl.Target.ID)
	}
}

// loadGoodReplica makes the pool prefer other replicas over b-good, by placing a long
// prompt on it.
func (h *harness) loadGoodReplica() {
	pool := h.server.state.pool("scribe/" + testModel)
	pl := placeOn(h.t, pool, "g-b-good", 10_000)
	h.t.Cleanup(func() { pool.Release(pl) })
}

func wholeStream(to int) string {
	var b strings.Builder
	for i := 1; i <= to; i++ {
		b.WriteString(event(i))
	}
	return b.String()
}

func serveEvents(to int) func(*received) {
	return func(r *received) {
		r.beginStream()
		r.events(to)
		r.endStream()
	}
}

func TestStreamIsForwardedEventByEvent(t *testing.T) {
	h := newHarness(t)
	next := make(chan struct{})
	h.scribe(newFakeServer(t, "s1", func(r *received) {
		r.beginStream()
		r.events(1)
		<-next
		r.chunk(event(2))
		r.endStream()
	}))
	res := h.send("POST", "/draft/1", "prompt")
	first := make([]byte, len(event(1)))
	_, err := io.ReadFull(res.Body, first)
	require.NoError(t, err, "the first event arrives before the second is sent")
	require.Equal(t, event(1), string(first))
	close(next)
	rest, whole := text(res)
	require.True(t, whole)
	require.Equal(t, event(2), rest)
	require.Equal(t, "s1", res.Header.Get("Seal"))
	require.Equal(t, "text/event-stream", res.Header.Get("Content-Type"))
}

// TestBrokenStreamResumes breaks a stream in several ways after some events. The caller
// gets each event once, with the head of the replica that sent the first one.
func TestBrokenStreamResumes(t *testing.T) {
	cases := []struct {
		name string
		fail func(*received)
	}{
		{"closed between events", func(r *received) { r.events(3); _ = r.conn.Close() }},
		{"closed within an event", func(r *received) { r.events(3); r.chunk("id: 4\nda"); _ = r.conn.Close() }},
		{"stalls", func(r *received) { r.events(3); <-r.gone }},
		{"stalls within an event", func(r *received) { r.events(3); r.chunk("id: 4\nda"); <-r.gone }},
		{"broken framing", func(r *received) { r.events(3); r.write("zz\r\n"); <-r.gone }},
		{"before the first event", func(r *received) { _ = r.conn.Close() }},
		{"silent before the first event", func(r *received) { <-r.gone }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			bad := newFakeServer(t, "a-bad", func(r *received) { r.beginStream(); c.fail(r) })
			good := newFakeServer(t, "b-good", serveEvents(6))
			h.scribe(bad, good)
			h.loadGoodReplica()
			res := h.send("POST", "/draft/1", "prompt", "Prompt", "10")
			body, whole := text(res)
			require.True(t, whole, h.logs.String())
			require.Equal(t, wholeStream(6), body)
			require.Equal(t, int64(1), good.arrived.Load())
			require.Equal(t, "prompt", good.requests[0].body, "the request is sent again in full")
			if strings.Contains(body, "word 3") && res.Header.Get("Seal") == "a-bad" {
				require.Equal(t, "3", string(good.requests[0].header.Peek("Last-Event-Id")))
			}
		})
	}
}

// TestBrokenStreamOfOnceRouteIsCut expects a visibly truncated stream, and no second run.
func TestBrokenStreamOfOnceRouteIsCut(t *testing.T) {
	h := newHarness(t)
	bad := newFakeServer(t, "a-bad", func(r *received) { r.beginStream(); r.events(3); _ = r.conn.Close() })
	good := newFakeServer(t, "b-good", serveEvents(6))
	h.scribe(bad, good)
	h.loadGoodReplica()
	body, whole := text(h.send("POST", "/once/1", "prompt"))
	require.False(t, whole, "a cut stream must not look complete")
	require.Equal(t, wholeStream(3), body)
	require.Zero(t, good.arrived.Load())
}

// TestStreamRunsOnNoMoreReplicasThanAllowed lets every replica break the stream.
func TestStreamRunsOnNoMoreReplicasThanAllowed(t *testing.T) {
	h := newHarness(t)
	breaks := func(r *received) {
		r.beginStream()
		r.chunk(event(len(r.header.Peek("Last-Event-Id")) + 1))
		_ = r.conn.Close()
	}
	servers := []*fakeServer{newFakeServer(t, "a", breaks), newFakeServer(t, "b", breaks), newFakeServer(t, "c", breaks)}
	h.scribe(servers...)
	_, whole := text(h.send("POST", "/draft/1", "prompt"))
	require.False(t, whole)
	require.Equal(t, int64(2), servers[0].arrived.Load()+servers[1].arrived.Load()+servers[2].arrived.Load())
}

// TestCallerResumes forwards the caller's Last-Event-Id.
func TestCallerResumes(t *testing.T) {
	h := newHarness(t)
	s := newFakeServer(t, "s1", serveEvents(6))
	h.scribe(s)
	body, whole := text(h.send("POST", "/draft/1", "prompt", "Last-Event-Id", "4"))
	require.True(t, whole)
	require.Equal(t, event(5)+event(6), body)
}

// TestRepeatedEventsAreDropped resumes at a replica that starts before the requested
// event.
func TestRepeatedEventsAreDropped(t *testing.T) {
	h := newHarness(t)
	bad := newFakeServer(t, "a-bad", func(r *received) { r.beginStream(); r.events(3); _ = r.conn.Close() })
	good := newFakeServer(t, "b-good", func(r *received) {
		r.beginStream()
		for i := 2; i <= 5; i++ {
			r.chunk(event(i))
		}
		r.endStream()
	})
	h.scribe(bad, good)
	h.loadGoodReplica()
	body, whole := text(h.send("POST", "/draft/1", "prompt"))
	require.True(t, whole)
	require.Equal(t, wholeStream(5), body)
}

// TestUnframedStream sends a stream that is delimited by the end of the connection: it is
// whole only if it ends after an event.
func TestUnframedStream(t *testing.T) {
	unframed := func(tail string) func(*received) {
		return func(r *received) {
			r.write("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n%s%s", r.header.Peek("Id"), wholeStream(2), tail)
			_ = r.conn.Close()
		}
	}
	h := newHarness(t)
	h.scribe(newFakeServer(t, "s1", unframed("")))
	body, whole := text(h.send("POST", "/draft/1", "prompt"))
	require.True(t, whole)
	require.Equal(t, wholeStream(2), body)

	h = newHarness(t)
	h.scribe(newFakeServer(t, "s1", unframed("id: 3\nda")))
	body, whole = text(h.send("POST", "/draft/1", "prompt"))
	require.False(t, whole)
	require.Equal(t, wholeStream(2), body)
}

// TestStreamLeavesDissolvedReplica removes a replica from the view while a stream runs
// on it.
func TestStreamLeavesDissolvedReplica(t *testing.T) {
	h := newHarness(t)
	bad := newFakeServer(t, "a-bad", func(r *received) { r.beginStream(); r.events(3); <-r.gone })
	good := newFakeServer(t, "b-good", serveEvents(6))
	h.scribe(bad, good)
	h.loadGoodReplica()
	res := h.send("POST", "/draft/1", "prompt")
	began := time.Now()
	h.view.Groups = h.view.Groups[1:]
	h.apply()
	body, whole := text(res)
	require.True(t, whole)
	require.Equal(t, wholeStream(6), body)
	require.Less(t, time.Since(began), placement.StallTimeout, "before the stall timeout")
}

// TestDrainingReplicaFinishes expects a stream to end on a replica that takes nothing new.
func TestDrainingReplicaFinishes(t *testing.T) {
	h := newHarness(t)
	release := make(chan struct{})
	draining := newFakeServer(t, "a", func(r *received) {
		r.beginStream()
		r.events(3)
		<-release
		r.chunk(event(4))
		r.endStream()
	})
	h.scribe(draining)
	res := h.send("POST", "/draft/1", "prompt")
	h.view.Groups[0].Leaving = true
	h.apply()
	require.Equal(t, 503, h.send("POST", "/draft/2", "prompt").StatusCode)
	close(release)
	body, whole := text(res)
	require.True(t, whole)
	require.Equal(t, wholeStream(4), body)
	require.Equal(t, int64(1), draining.arrived.Load())
}

func TestReturningDomainCountsAsCold(t *testing.T) {
	h := newHarness(t)
	p := publication()
	p.Services[1].ColdRate, p.Services[1].ColdStartMillis = 1, 60_000
	h.view.Publication = packed(t, p)
	h.scribe(newFakeServer(t, "a", serveEvents(1)))
	h.view.Domains = []api.Domain{{Name: "cairo", State: api.DomainDrained}}
	h.apply()
	h.view.Domains = []api.Domain{{Name: "cairo", State: api.DomainActive}}
	h.apply()
	pool := h.server.state.pool("scribe/" + testModel)
	pl := placeOn(t, pool, "g-a", 0)
	defer pool.Release(pl)
	require.True(t, pl.Target.Cold)
	require.False(t, pool.HasOther(&placement.Demand{}), "the cold rate of one request a second is used up")
}

// TestPanicWhileStreamResumesEndsOnlyTheStream guards against one answer that ends the process.
func TestPanicWhileStreamResumesEndsOnlyTheStream(t *testing.T) {
	h := newHarness(t)
	bad := newFakeServer(t, "a-bad", func(r *received) { r.beginStream(); r.events(3); _ = r.conn.Close() })
	good := newFakeServer(t, "b-good", func(r *received) { r.status(200, "Panic: 1\r\n") })
	h.scribe(bad, good)
	h.loadGoodReplica()
	_, whole := text(h.send("POST", "/draft/1", "prompt"))
	require.False(t, whole)
	require.Eventually(t, func() bool { return h.server.Active() == 0 }, waitFor, time.Millisecond)
	require.Contains(t, h.logs.String(), "Panic in request path")
}

// TestEndOfRequestIsNoCrashOfItsServer guards against requests that are quarantined because their
// streams reached the deadline, or their callers left.
func TestEndOfRequestIsNoCrashOfItsServer(t *testing.T) {
	for name, deadline := range map[string]string{"deadline": "300", "caller left": "5000"} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.scribe(newFakeServer(t, "a", func(r *received) { r.beginStream(); r.events(3); <-r.gone }))
			ctx, leave := context.WithTimeout(t.Context(), waitFor)
			defer leave()
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.ln.Addr().String()+"/draft/1", strings.NewReader("prompt"))
			require.NoError(t, err)
			req.Host = testHost
			for name, value := range map[string]string{"Id": "r", "Key": testKey, "Model": testModel, "Deadline": deadline} {
				req.Header.Set(name, value)
			}
			res, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			if name == "caller left" {
				leave()
			}
			_, err = io.ReadAll(res.Body)
			require.Error(t, err)
			require.NoError(t, res.Body.Close())
			require.Eventually(t, func() bool { return h.server.Active() == 0 }, waitFor, time.Millisecond)
			require.NotContains(t, h.logs.String(), "Server may have crashed")
		})
	}
}
