package ingress

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/placement"
)

// placeOn takes a place on one target of a pool.
func placeOn(t *testing.T, pool *placement.Pool, id string, prompt int) *placement.Placement {
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

// preferOver makes the replica b-good the last choice by giving it a prompt to read.
func (r *rig) preferOver() {
	pool := r.server.board.pool("scribe/" + testModel)
	pl := placeOn(r.t, pool, "g-b-good", 10_000)
	r.t.Cleanup(func() { pool.Release(pl) })
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

func TestStreamPassesAsItComes(t *testing.T) {
	r := newRig(t)
	next := make(chan struct{})
	r.scribe(newStandIn(t, "s1", func(r *received) {
		r.beginStream()
		r.events(1)
		<-next
		r.chunk(event(2))
		r.endStream()
	}))
	res := r.send("POST", "/draft/1", "prompt")
	first := make([]byte, len(event(1)))
	_, err := io.ReadFull(res.Body, first)
	require.NoError(t, err, "the first event arrives before the second is made")
	require.Equal(t, event(1), string(first))
	close(next)
	rest, whole := text(res)
	require.True(t, whole)
	require.Equal(t, event(2), rest)
	require.Equal(t, "s1", res.Header.Get("Seal"))
	require.Equal(t, "text/event-stream", res.Header.Get("Content-Type"))
}

// TestBrokenStreamGoesOn breaks a stream in several ways after some events. The
// caller gets each event once, under the head of the first replica.
func TestBrokenStreamGoesOn(t *testing.T) {
	cases := []struct {
		name string
		fail func(*received)
	}{
		{"closed between events", func(r *received) { r.events(3); _ = r.conn.Close() }},
		{"closed within an event", func(r *received) { r.events(3); r.chunk("id: 4\nda"); _ = r.conn.Close() }},
		{"stands still", func(r *received) { r.events(3); <-r.gone }},
		{"stands still within an event", func(r *received) { r.events(3); r.chunk("id: 4\nda"); <-r.gone }},
		{"broken framing", func(r *received) { r.events(3); r.write("zz\r\n"); <-r.gone }},
		{"before the first event", func(r *received) { _ = r.conn.Close() }},
		{"silent before the first event", func(r *received) { <-r.gone }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			bad := newStandIn(t, "a-bad", func(r *received) { r.beginStream(); c.fail(r) })
			good := newStandIn(t, "b-good", serveEvents(6))
			r.scribe(bad, good)
			r.preferOver()
			res := r.send("POST", "/draft/1", "prompt", "Prompt", "10")
			body, whole := text(res)
			require.True(t, whole, r.logs.String())
			require.Equal(t, wholeStream(6), body)
			require.Equal(t, int64(1), good.arrived.Load())
			require.Equal(t, "prompt", good.seen[0].body, "the request is sent whole again")
			if strings.Contains(body, "word 3") && res.Header.Get("Seal") == "a-bad" {
				require.Equal(t, "3", string(good.seen[0].header.Peek("Last-Event-Id")))
			}
		})
	}
}

// TestBrokenStreamThatMayNotRepeat ends without its end.
func TestBrokenStreamThatMayNotRepeat(t *testing.T) {
	r := newRig(t)
	bad := newStandIn(t, "a-bad", func(r *received) { r.beginStream(); r.events(3); _ = r.conn.Close() })
	good := newStandIn(t, "b-good", serveEvents(6))
	r.scribe(bad, good)
	r.preferOver()
	body, whole := text(r.send("POST", "/once/1", "prompt"))
	require.False(t, whole, "a cut stream must not look complete")
	require.Equal(t, wholeStream(3), body)
	require.Zero(t, good.arrived.Load())
}

// TestStreamRunsOnNoMoreReplicasThanAllowed breaks at every replica.
func TestStreamRunsOnNoMoreReplicasThanAllowed(t *testing.T) {
	r := newRig(t)
	breaks := func(r *received) {
		r.beginStream()
		r.chunk(event(len(r.header.Peek("Last-Event-Id")) + 1))
		_ = r.conn.Close()
	}
	servers := []*standIn{newStandIn(t, "a", breaks), newStandIn(t, "b", breaks), newStandIn(t, "c", breaks)}
	r.scribe(servers...)
	_, whole := text(r.send("POST", "/draft/1", "prompt"))
	require.False(t, whole)
	require.Equal(t, int64(2), servers[0].arrived.Load()+servers[1].arrived.Load()+servers[2].arrived.Load())
}

// TestCallerResumes passes the caller's own last event on.
func TestCallerResumes(t *testing.T) {
	r := newRig(t)
	s := newStandIn(t, "s1", serveEvents(6))
	r.scribe(s)
	body, whole := text(r.send("POST", "/draft/1", "prompt", "Last-Event-Id", "4"))
	require.True(t, whole)
	require.Equal(t, event(5)+event(6), body)
}

// TestRepeatedEventsAreDropped meets a replica that begins before the event asked
// for.
func TestRepeatedEventsAreDropped(t *testing.T) {
	r := newRig(t)
	bad := newStandIn(t, "a-bad", func(r *received) { r.beginStream(); r.events(3); _ = r.conn.Close() })
	good := newStandIn(t, "b-good", func(r *received) {
		r.beginStream()
		for i := 2; i <= 5; i++ {
			r.chunk(event(i))
		}
		r.endStream()
	})
	r.scribe(bad, good)
	r.preferOver()
	body, whole := text(r.send("POST", "/draft/1", "prompt"))
	require.True(t, whole)
	require.Equal(t, wholeStream(5), body)
}

// TestUnframedStream ends with its connection: only at the end of an event is it
// whole.
func TestUnframedStream(t *testing.T) {
	unframed := func(tail string) func(*received) {
		return func(r *received) {
			r.write("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Type: text/event-stream\r\n\r\n%s%s", r.header.Peek("Id"), wholeStream(2), tail)
			_ = r.conn.Close()
		}
	}
	r := newRig(t)
	r.scribe(newStandIn(t, "s1", unframed("")))
	body, whole := text(r.send("POST", "/draft/1", "prompt"))
	require.True(t, whole)
	require.Equal(t, wholeStream(2), body)

	r = newRig(t)
	r.scribe(newStandIn(t, "s1", unframed("id: 3\nda")))
	body, whole = text(r.send("POST", "/draft/1", "prompt"))
	require.False(t, whole)
	require.Equal(t, wholeStream(2), body)
}

// TestDissolvedReplicaIsLeftAtOnce takes a replica out of the view while a stream
// runs on it.
func TestDissolvedReplicaIsLeftAtOnce(t *testing.T) {
	r := newRig(t)
	bad := newStandIn(t, "a-bad", func(r *received) { r.beginStream(); r.events(3); <-r.gone })
	good := newStandIn(t, "b-good", serveEvents(6))
	r.scribe(bad, good)
	r.preferOver()
	res := r.send("POST", "/draft/1", "prompt")
	began := time.Now()
	r.view.Groups = r.view.Groups[1:]
	r.apply()
	body, whole := text(res)
	require.True(t, whole)
	require.Equal(t, wholeStream(6), body)
	require.Less(t, time.Since(began), placement.StandStill, "sooner than by its silence")
}

// TestDrainingReplicaFinishes keeps a stream on a replica that takes nothing new.
func TestDrainingReplicaFinishes(t *testing.T) {
	r := newRig(t)
	release := make(chan struct{})
	draining := newStandIn(t, "a", func(r *received) {
		r.beginStream()
		r.events(3)
		<-release
		r.chunk(event(4))
		r.endStream()
	})
	r.scribe(draining)
	res := r.send("POST", "/draft/1", "prompt")
	r.view.Groups[0].Leaving = true
	r.apply()
	require.Equal(t, 503, r.send("POST", "/draft/2", "prompt").StatusCode)
	close(release)
	body, whole := text(res)
	require.True(t, whole)
	require.Equal(t, wholeStream(4), body)
	require.Equal(t, int64(1), draining.arrived.Load())
}

func TestReturningDomainCountsAsCold(t *testing.T) {
	r := newRig(t)
	r.view.Publication.Services[1].ColdRate, r.view.Publication.Services[1].ColdStartMillis = 1, 60_000
	r.scribe(newStandIn(t, "a", serveEvents(1)))
	r.view.Domains = []api.Domain{{Name: "cairo", State: api.DomainDrained}}
	r.apply()
	r.view.Domains = []api.Domain{{Name: "cairo", State: api.DomainActive}}
	r.apply()
	pool := r.server.board.pool("scribe/" + testModel)
	pl := placeOn(t, pool, "g-a", 0)
	defer pool.Release(pl)
	require.True(t, pl.Target.Cold)
	require.False(t, pool.HasOther(&placement.Demand{}), "one request a second")
}
