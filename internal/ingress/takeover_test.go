package ingress

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
)

// silence is longer than the entry waits for a server before it tries another one.
const silence = abandonTimeout + 4*pollInterval

// pauses sends some events, says nothing for a time, and sends the rest.
func pauses(length time.Duration) func(*received) {
	return func(r *received) {
		r.beginStream()
		r.events(3)
		select {
		case <-r.gone:
			return
		case <-time.After(length):
		}
		for i := 4; i <= 6; i++ {
			r.chunk(event(i))
		}
		r.endStream()
	}
}

// TestStreamOfPausingServerIsWhole guards against an entry that leaves a sound server, which
// only pauses, before another one has taken over.
func TestStreamOfPausingServerIsWhole(t *testing.T) {
	exhaust := func(h *harness) {
		b := h.server.budget("scribe")
		for b.take(1) {
			continue
		}
	}
	cases := []struct {
		name    string
		other   func(*received)
		prepare func(*harness)
		arrived int64
	}{
		{"retry budget exhausted", serveEvents(6), exhaust, 0},
		{"other server refuses", func(r *received) { r.status(503, "Refused: 1\r\n") }, nil, 1},
		{"other server closes the connection", func(r *received) { _ = r.conn.Close() }, nil, 1},
		{"other server fails", func(r *received) { r.status(500, "Seal: x\r\n") }, nil, 1},
		{"other server is silent", hang, nil, 1},
		{"other server is silent after its header", func(r *received) { r.beginStream(); <-r.gone }, nil, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			pausing := newFakeServer(t, "a-pausing", pauses(silence))
			other := newFakeServer(t, "b-good", c.other)
			h.scribe(pausing, other)
			h.loadGoodReplica()
			if c.prepare != nil {
				c.prepare(h)
			}
			body, whole := text(h.send("POST", "/draft/1", "prompt"))
			require.True(t, whole, h.logs.String())
			require.Equal(t, wholeStream(6), body)
			require.Equal(t, int64(1), pausing.arrived.Load())
			require.Equal(t, c.arrived, other.arrived.Load())
			require.Eventually(t, func() bool { return h.server.Active() == 0 }, waitFor, time.Millisecond)
		})
	}
}

// TestStreamWithoutOtherServerIsWhole guards against an entry that leaves its only server.
func TestStreamWithoutOtherServerIsWhole(t *testing.T) {
	h := newHarness(t)
	s := newFakeServer(t, "a", pauses(silence))
	h.scribe(s)
	body, whole := text(h.send("POST", "/draft/1", "prompt"))
	require.True(t, whole, h.logs.String())
	require.Equal(t, wholeStream(6), body)
	require.Equal(t, int64(1), s.arrived.Load())
}

// TestStreamOfServerOutOfTheViewIsWhole guards against a view that takes a stream from a
// server that still runs it.
func TestStreamOfServerOutOfTheViewIsWhole(t *testing.T) {
	h := newHarness(t)
	h.scribe(newFakeServer(t, "a", pauses(4*pollInterval)))
	res := h.send("POST", "/draft/1", "prompt")
	h.view.Groups = nil
	h.apply()
	body, whole := text(res)
	require.True(t, whole, h.logs.String())
	require.Equal(t, wholeStream(6), body)
}

// TestPausingServerKeepsRequestBeforeItsHeader guards against a request that fails because its
// server was left before the first byte of the answer.
func TestPausingServerKeepsRequestBeforeItsHeader(t *testing.T) {
	h := newHarness(t)
	h.scribe(newFakeServer(t, "a-pausing", func(r *received) {
		time.Sleep(silence)
		serveEvents(6)(r)
	}), newFakeServer(t, "b-good", func(r *received) { r.status(503, "Refused: 1\r\n") }))
	h.loadGoodReplica()
	body, whole := text(h.send("POST", "/draft/1", "prompt", "Prompt", "10"))
	require.True(t, whole, h.logs.String())
	require.Equal(t, wholeStream(6), body)
}

// TestLoserOfTakeoverIsCancelled guards against a server that keeps working on a stream that
// another one serves.
func TestLoserOfTakeoverIsCancelled(t *testing.T) {
	for name, pause := range map[string]time.Duration{"silent server": waitFor, "challenger": silence} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			second := serveEvents(6)
			if pause < waitFor {
				second = hang
			}
			servers := []*fakeServer{newFakeServer(t, "a-pausing", pauses(pause)), newFakeServer(t, "b-good", second)}
			h.scribe(servers...)
			h.loadGoodReplica()
			body, whole := text(h.send("POST", "/draft/1", "prompt", "Prompt", "10"))
			require.True(t, whole, h.logs.String())
			require.Equal(t, wholeStream(6), body)
			loser := servers[0]
			if pause < waitFor {
				loser = servers[1]
			}
			loser.mu.Lock()
			request := loser.requests[0]
			loser.mu.Unlock()
			select {
			case <-request.gone:
			case <-time.After(waitFor):
				t.Fatal("the connection to the loser stays open")
			}
		})
	}
}

// TestServerThatEndsDuringTakeoverIsReplaced lets the silent server break off while the
// challenger has not answered yet.
func TestServerThatEndsDuringTakeoverIsReplaced(t *testing.T) {
	for name, begin := range map[string]func(*received){
		"before the header": func(*received) {},
		"after the header":  func(r *received) { r.beginStream() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			began, ended := make(chan struct{}), make(chan struct{})
			bad := newFakeServer(t, "a-bad", func(r *received) {
				r.beginStream()
				r.events(3)
				<-began
				_ = r.conn.Close()
				close(ended)
			})
			good := newFakeServer(t, "b-good", func(r *received) {
				begin(r)
				close(began)
				<-ended
				time.Sleep(2 * pollInterval)
				if name == "before the header" {
					r.beginStream()
				}
				r.events(6)
				r.endStream()
			})
			h.scribe(bad, good)
			h.loadGoodReplica()
			body, whole := text(h.send("POST", "/draft/1", "prompt", "Prompt", "10"))
			require.True(t, whole, h.logs.String())
			require.Equal(t, wholeStream(6), body)
			require.Equal(t, int64(1), good.arrived.Load())
		})
	}
}

// TestServerThatGoesOnAndBreaksIsReplaced guards against a second server that is given up as soon
// as a flapping one sends an event.
func TestServerThatGoesOnAndBreaksIsReplaced(t *testing.T) {
	h := newHarness(t)
	ended := make(chan struct{})
	bad := newFakeServer(t, "a-flapping", func(r *received) {
		r.beginStream()
		r.events(3)
		time.Sleep(silence)
		r.chunk(event(4))
		time.Sleep(pollInterval)
		_ = r.conn.Close()
		close(ended)
	})
	good := newFakeServer(t, "b-good", func(r *received) {
		<-ended
		serveEvents(6)(r)
	})
	h.scribe(bad, good)
	h.loadGoodReplica()
	res := h.send("POST", "/draft/1", "prompt", "Prompt", "10")
	body, whole := text(res)
	require.True(t, whole, h.logs.String())
	require.Equal(t, wholeStream(6), body)
	require.Equal(t, "a-flapping", res.Header.Get("Seal"))
	require.Equal(t, int64(1), good.arrived.Load())
}

// TestServerAheadKeepsStream lets both servers answer: the one whose last event is newer goes on.
func TestServerAheadKeepsStream(t *testing.T) {
	for name, c := range map[string]struct {
		// after is how many events the pausing server has sent when the other one begins.
		after  int
		winner string
	}{
		"pausing server is ahead": {5, "a-pausing"},
		"both are level":          {4, "b-good"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			sent, asked := make(chan struct{}), make(chan struct{})
			pausing := newFakeServer(t, "a-pausing", func(r *received) {
				r.beginStream()
				r.events(3)
				<-asked
				for i := 4; i <= c.after; i++ {
					r.chunk(event(i))
				}
				time.Sleep(pollInterval)
				close(sent)
				select {
				case <-r.gone:
					return
				case <-time.After(replicaStallTimeout / 2):
				}
				for i := c.after + 1; i <= 6; i++ {
					r.chunk(event(i))
				}
				r.endStream()
			})
			good := newFakeServer(t, "b-good", func(r *received) {
				close(asked)
				<-sent
				r.beginStream()
				r.events(4)
				select {
				case <-r.gone:
					return
				case <-time.After(2 * pollInterval):
				}
				r.chunk(event(5))
				r.chunk(event(6))
				r.endStream()
			})
			h.scribe(pausing, good)
			h.loadGoodReplica()
			body, whole := text(h.send("POST", "/draft/1", "prompt", "Prompt", "10"))
			require.True(t, whole, h.logs.String())
			require.Equal(t, wholeStream(6), body)
			if c.winner == "b-good" {
				require.Contains(t, h.logs.String(), "Stream resumed")
			} else {
				require.Contains(t, h.logs.String(), "Silent server went on")
			}
		})
	}
}

// TestTakeoverRunsOnNoMoreServersThanAllowed lets the silent server go on and break off later.
func TestTakeoverRunsOnNoMoreServersThanAllowed(t *testing.T) {
	h := newHarness(t)
	servers := []*fakeServer{
		newFakeServer(t, "a-pausing", func(r *received) {
			r.beginStream()
			r.events(3)
			time.Sleep(silence)
			r.chunk(event(4))
			_ = r.conn.Close()
		}),
		newFakeServer(t, "b-good", hang), newFakeServer(t, "c", hang),
	}
	h.scribe(servers...)
	h.loadGoodReplica()
	pool := h.server.state.pool("scribe/" + testModel)
	pl := placeOn(t, pool, "g-c", 10_000)
	defer pool.Release(pl)
	body, whole := text(h.send("POST", "/draft/1", "prompt", "Prompt", "10"))
	require.False(t, whole)
	require.Equal(t, wholeStream(4), body)
	require.Equal(t, int64(2), servers[0].arrived.Load()+servers[1].arrived.Load()+servers[2].arrived.Load())
}

// TestTakeoverGivesBackItsSlots guards against places that stay taken after a takeover.
func TestTakeoverGivesBackItsSlots(t *testing.T) {
	h := newHarness(t)
	h.scribe(newFakeServer(t, "a", pauses(silence)), newFakeServer(t, "b-good", hang))
	_, _ = text(h.send("POST", "/draft/1", "prompt", "Deadline", "4000"))
	require.Eventually(t, func() bool {
		return h.server.Active() == 0 && len(h.server.state.pool("scribe/"+testModel).Loads(nil, noLinks{})) == 0
	}, waitFor, time.Millisecond)
}

// noLinks reports no suspicion as shown.
type noLinks struct{}

func (noLinks) LinksShownSince(time.Time, bool) bool { return false }

// TestChallengersThatReachNobodyLeaveRetryBudget guards against a stream that stays with a silent
// server because connections to others were refused.
func TestChallengersThatReachNobodyLeaveRetryBudget(t *testing.T) {
	gone := newFakeServer(t, "b-gone", serveDone)
	h := newEntry(t, api.EntryInfo{ID: "e1", Incarnation: 1, Domain: "cairo"}, backend.Config{
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			if address == gone.ln.Addr().String() {
				return nil, syscall.ECONNREFUSED
			}
			var d net.Dialer
			return d.DialContext(ctx, network, address)
		},
	})
	// One retry is allowed: the budget is not used to its last part.
	h.server.cfg.Settings.RetryRatio, h.server.cfg.Settings.RetryAllowance = 0, 1.5
	// The caller waits for events as long as the request lasts.
	p := publication()
	for i := range p.Routes {
		p.Routes[i].GapObjectiveMillis = p.Routes[i].TimeoutMillis
	}
	h.view.Publication = packed(t, p)
	good := newFakeServer(t, "b-good", serveEvents(6))
	h.scribe(newFakeServer(t, "a-silent", pauses(waitFor)), gone, good)
	pool := h.server.state.pool("scribe/" + testModel)
	for id, prompt := range map[string]int{"g-b-gone": 2_000, "g-b-good": 4_000} {
		pl := placeOn(t, pool, id, prompt)
		t.Cleanup(func() { pool.Release(pl) })
	}
	body, whole := text(h.send("POST", "/draft/1", "prompt", "Prompt", "10"))
	require.True(t, whole, h.logs.String())
	require.Equal(t, wholeStream(6), body)
	require.Contains(t, h.logs.String(), "unsent=true")
	require.Equal(t, int64(1), good.arrived.Load())
}

// TestCallOfEntryWithoutNewLinksIsAnswered guards against an entry that leaves a server that still
// answers, because it can't connect to any.
func TestCallOfEntryWithoutNewLinksIsAnswered(t *testing.T) {
	arrived := make(chan struct{}, 1)
	slow := func(r *received) {
		arrived <- struct{}{}
		time.Sleep(silence)
		r.ok("done")
	}
	servers := []*fakeServer{newFakeServer(t, "l1", slow), newFakeServer(t, "l2", serveDone), newFakeServer(t, "l3", serveDone)}
	g := newEntryGroup(t, 1, func(h *harness, through func(*fakeServer) *fakeServer) {
		for _, s := range servers {
			h.ledger(through(s))
		}
	})
	h := g.entries[0]
	pool := h.server.state.pool("ledger")
	for _, id := range []string{"l2", "l3", "l2", "l3", "l2", "l3"} {
		pl := placeOn(t, pool, id, 0)
		t.Cleanup(func() { pool.Release(pl) })
	}
	go func() {
		<-arrived
		g.links[0].set(linksKept)
	}()
	res := h.send("GET", "/read/1", "", "Deadline", "8000")
	body, _ := text(res)
	require.Equal(t, 200, res.StatusCode, h.logs.String())
	require.Equal(t, "done", body)
	require.Contains(t, h.logs.String(), "Links to all servers lost")
}

// TestErrorOfChallengerIsNoAnswer guards against a caller that gets the error of another server
// while its own goes on.
func TestErrorOfChallengerIsNoAnswer(t *testing.T) {
	for name, first := range map[string]func(*received){
		"after header":  func(r *received) { r.beginStream(); time.Sleep(silence); r.events(6); r.endStream() },
		"before header": func(r *received) { time.Sleep(silence); r.beginStream(); r.events(6); r.endStream() },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.scribe(newFakeServer(t, "a-pausing", first),
				newFakeServer(t, "b-good", func(r *received) { r.status(500, "Seal: x\r\n") }))
			h.loadGoodReplica()
			res := h.send("POST", "/draft/1", "prompt", "Prompt", "10")
			body, whole := text(res)
			require.True(t, whole, h.logs.String())
			require.Equal(t, 200, res.StatusCode, h.logs.String())
			require.Equal(t, wholeStream(6), body)
		})
	}
}

// TestSlowErrorOfChallengerDoesNotHoldStream guards against a stream that waits for the body of
// another server's error.
func TestSlowErrorOfChallengerDoesNotHoldStream(t *testing.T) {
	h := newHarness(t)
	h.scribe(newFakeServer(t, "a-pausing", pauses(silence)),
		newFakeServer(t, "b-good", func(r *received) {
			r.write("HTTP/1.1 500 X\r\nId: %s\r\nSeal: x\r\nContent-Length: 100\r\n\r\npart", r.header.Peek("Id"))
			<-r.gone
		}))
	h.loadGoodReplica()
	began := time.Now()
	body, whole := text(h.send("POST", "/draft/1", "prompt", "Prompt", "10"))
	require.True(t, whole, h.logs.String())
	require.Equal(t, wholeStream(6), body)
	require.Less(t, time.Since(began), 2*silence)
}
