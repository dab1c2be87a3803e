package ingress

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/placement"
)

// cutFirst returns a group whose first entry knows that it has lost its links.
func cutFirst(t *testing.T, n int, servers func(*harness, func(*fakeServer) *fakeServer)) *entryGroup {
	t.Helper()
	g := newEntryGroup(t, n, servers)
	g.cut(t, 0)
	return g
}

// cut cuts an entry and waits until it has noticed.
func (g *entryGroup) cut(t *testing.T, i int) {
	t.Helper()
	g.links[i].set(linksSilent)
	h := g.entries[i]
	suspects := probeTargets(h.server.state.allPools())[:2]
	require.Eventually(t, func() bool {
		// A request that was sent before the cut may still record its successful dial, which
		// counts for more than failures.
		for _, server := range suspects {
			h.server.links.all.Dialed(server.Address, false, time.Now())
		}
		return h.server.links.all.Lost()
	}, waitFor, 5*time.Millisecond)
}

// oneOfEach is one server of each service.
func oneOfEach(ledger, scribe *fakeServer) func(*harness, func(*fakeServer) *fakeServer) {
	return func(h *harness, through func(*fakeServer) *fakeServer) {
		h.ledger(through(ledger))
		h.scribe(through(scribe))
	}
}

func TestForwardedAnswerIsUnchanged(t *testing.T) {
	ledger := newFakeServer(t, "l1", func(r *received) {
		r.write("HTTP/1.1 201 X\r\nId: %s\r\nSeal: l1\r\nContent-Type: text/plain\r\n%s: spoofed\r\n%s: 9\r\nContent-Length: 4\r\n\r\nbody",
			r.header.Peek("Id"), headerForwardedCode, headerForwardedRuns)
	})
	g := cutFirst(t, 2, oneOfEach(ledger, newFakeServer(t, "s1", serveEvents(3))))
	large := strings.Repeat("x", 300<<10)
	res := g.entries[0].send("POST", "/post/1", large, headerForwarded, "spoofed", headerForwardedMAC, "spoofed")
	body, whole := text(res)
	require.True(t, whole)
	require.Equal(t, 201, res.StatusCode)
	require.Equal(t, "body", body)
	require.Equal(t, "l1", res.Header.Get("Seal"))
	require.Empty(t, res.Header.Get(headerForwardedCode))
	require.Empty(t, res.Header.Get(headerForwardedRuns))
	got := ledger.requests[0]
	require.Equal(t, large, got.body)
	require.Equal(t, "shop", string(got.header.Peek("Account")))
	require.Equal(t, "l1", string(got.header.Peek("Instance")))
	require.Empty(t, got.header.Peek(headerForwarded))
}

// TestStreamInProgressMovesToAnotherEntry cuts the entry in the middle of a stream.
func TestStreamInProgressMovesToAnotherEntry(t *testing.T) {
	begun := make(chan struct{}, 4)
	scribe := newFakeServer(t, "s1", func(r *received) {
		r.beginStream()
		if len(r.header.Peek("Last-Event-Id")) == 0 {
			r.events(3)
			begun <- struct{}{}
			<-r.gone
			return
		}
		r.events(6)
		r.endStream()
	})
	g := newEntryGroup(t, 2, oneOfEach(newFakeServer(t, "l1", serveDone), scribe))
	res := g.entries[0].send("POST", "/draft/1", "prompt")
	<-begun
	g.cut(t, 0)
	body, whole := text(res)
	require.True(t, whole, g.entries[0].logs.String())
	require.Equal(t, wholeStream(6), body)
}

// TestFirstEntryResumesForwardedStream has a server break a stream off. The second entry
// leaves the resumption to the first one, which counts each run once.
func TestFirstEntryResumesForwardedStream(t *testing.T) {
	scribe := newFakeServer(t, "s1", func(r *received) {
		r.beginStream()
		if len(r.header.Peek("Last-Event-Id")) == 0 {
			r.events(3)
			_ = r.conn.Close()
			return
		}
		r.events(6)
		r.endStream()
	})
	g := cutFirst(t, 3, oneOfEach(newFakeServer(t, "l1", serveDone), scribe))
	body, whole := text(g.entries[0].send("POST", "/draft/1", "prompt"))
	require.True(t, whole, g.entries[0].logs.String())
	require.Equal(t, wholeStream(6), body)
	require.Equal(t, int64(2), scribe.arrived.Load())
	require.Regexp(t, `request=r\d+ outcome=answered .* ran=1 `, g.entries[0].logs.String())
}

// TestForwardedRequestRunsOnce has the server read a deposit and close the connection, at the
// second entry and in progress at the first one.
func TestForwardedRequestRunsOnce(t *testing.T) {
	ledger := newFakeServer(t, "l1", func(r *received) { _ = r.conn.Close() })
	g := cutFirst(t, 3, oneOfEach(ledger, newFakeServer(t, "s1", serveEvents(3))))
	res := g.entries[0].send("POST", "/post/1", "deposit")
	require.Equal(t, 502, res.StatusCode)
	require.Equal(t, int64(1), ledger.arrived.Load())
}

// TestBrokenLinkBetweenEntries breaks the link while a server runs the request: a deposit is
// not repeated, and a stream that has begun goes on elsewhere.
func TestBrokenLinkBetweenEntries(t *testing.T) {
	begun := make(chan struct{}, 4)
	ledger := newFakeServer(t, "l1", func(r *received) { begun <- struct{}{}; <-r.gone })
	scribe := newFakeServer(t, "s1", func(r *received) {
		r.beginStream()
		if len(r.header.Peek("Last-Event-Id")) == 0 {
			r.events(3)
			begun <- struct{}{}
			<-r.gone
			return
		}
		r.events(6)
		r.endStream()
	})
	g := cutFirst(t, 3, oneOfEach(ledger, scribe))
	status := make(chan int, 1)
	go func() { status <- g.entries[0].send("POST", "/post/1", "deposit").StatusCode }()
	<-begun
	g.links[0].breakForwards()
	require.Equal(t, 502, <-status)
	require.Equal(t, int64(1), ledger.arrived.Load())

	res := g.entries[0].send("POST", "/draft/1", "prompt")
	<-begun
	first := make([]byte, len(wholeStream(3)))
	_, err := io.ReadFull(res.Body, first)
	require.NoError(t, err)
	g.links[0].breakForwards()
	rest, whole := text(res)
	require.True(t, whole, g.entries[0].logs.String())
	require.Equal(t, wholeStream(6), string(first)+rest)
}

// TestUnansweredDepositIsNotRepeated cuts an entry while a server runs a deposit.
func TestUnansweredDepositIsNotRepeated(t *testing.T) {
	ledger := newFakeServer(t, "l1", hang)
	g := newEntryGroup(t, 2, oneOfEach(ledger, newFakeServer(t, "s1", serveEvents(3))))
	status := make(chan int, 1)
	go func() { status <- g.entries[0].send("POST", "/post/1", "deposit", "Deadline", "1500").StatusCode }()
	require.Eventually(t, func() bool { return ledger.arrived.Load() == 1 }, waitFor, time.Millisecond)
	g.cut(t, 0)
	require.Equal(t, 504, <-status)
	require.Equal(t, int64(1), ledger.arrived.Load())
}

// TestAllEntriesCutRefuseAtOnce expects refusals well before the deadline, and no request
// that is forwarded twice.
func TestAllEntriesCutRefuseAtOnce(t *testing.T) {
	g := newEntryGroup(t, 3, sound(t))
	for i := range g.entries {
		g.cut(t, i)
	}
	for _, kind := range cutKinds {
		began := time.Now()
		res := g.entries[0].send(kind.method, kind.path, "body", "Deadline", "2000")
		require.Equal(t, 503, res.StatusCode)
		require.NotEmpty(t, res.Header.Get("Retry-After"))
		require.Less(t, time.Since(began), 500*time.Millisecond)
	}
	for _, h := range g.entries[1:] {
		require.NotContains(t, h.logs.String(), "Request forwarded")
	}
}

// TestServerStopsWhenCallerOfCutEntryLeaves bounds the time to half a second.
func TestServerStopsWhenCallerOfCutEntryLeaves(t *testing.T) {
	scribe := newFakeServer(t, "s1", hang)
	g := cutFirst(t, 2, oneOfEach(newFakeServer(t, "l1", serveDone), scribe))
	conn, err := net.Dial("tcp", g.entries[0].ln.Addr().String())
	require.NoError(t, err)
	_, _ = fmt.Fprintf(conn, "POST /draft/1 HTTP/1.1\r\nHost: %s\r\nId: left\r\nKey: %s\r\nModel: %s\r\nContent-Length: 0\r\n\r\n", testHost, testKey, testModel)
	require.Eventually(t, func() bool { return scribe.arrived.Load() == 1 }, waitFor, time.Millisecond)
	_ = conn.Close()
	select {
	case <-scribe.requests[0].gone:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the server is still at work")
	}
}

// TestForwardedRequestNeedsProof sends requests with no, a wrong and another entry's proof.
func TestForwardedRequestNeedsProof(t *testing.T) {
	ledger := newFakeServer(t, "l1", serveDone)
	g := newEntryGroup(t, 2, oneOfEach(ledger, newFakeServer(t, "s1", serveEvents(3))))
	other := g.entries[1].server.cfg.Self
	call := `{"from":"e1","route":{"name":"read","kind":"idempotent","timeout_millis":2000},"service":"ledger"}`
	for name, proof := range map[string]string{"none": "", "wrong": strings.Repeat("0", 64)} {
		t.Run(name, func(t *testing.T) {
			req, err := http.NewRequestWithContext(t.Context(), "GET", "http://"+other.ForwardAddress+"/read/1", nil)
			require.NoError(t, err)
			req.Header.Set(headerForwarded, call)
			req.Header.Set(headerForwardedMAC, proof)
			res, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			_ = res.Body.Close()
			require.Equal(t, 403, res.StatusCode)
		})
	}
	require.Zero(t, ledger.arrived.Load())
}

// TestCutEntryReturnsToDirectLinks expects direct requests within a second, over few new
// connections.
func TestCutEntryReturnsToDirectLinks(t *testing.T) {
	g := cutFirst(t, 2, sound(t))
	served, sent := g.entries[0].sendAll(3)
	require.Equal(t, sent, served)
	dialed := g.entries[0].server.cfg.Backends.Dialed()
	g.links[0].set(linksWork)
	require.Eventually(t, func() bool { return !g.entries[0].server.links.all.Lost() }, time.Second, 5*time.Millisecond)
	served, sent = g.entries[0].sendAll(3)
	require.Equal(t, sent, served)
	require.LessOrEqual(t, g.entries[0].server.cfg.Backends.Dialed()-dialed, int64(sent+6))
}

// TestQueueOfCutEntryMovesOn has a request wait for a slot when the links are lost.
func TestQueueOfCutEntryMovesOn(t *testing.T) {
	release := make(chan struct{})
	ledger := newFakeServer(t, "l1", func(r *received) {
		if strings.HasPrefix(string(r.header.RequestURI()), "/post/") {
			<-release
		}
		r.ok("done")
	})
	t.Cleanup(func() { close(release) })
	g := newEntryGroup(t, 2, oneOfEach(ledger, newFakeServer(t, "s1", serveEvents(3))))
	pool := g.entries[0].server.state.pool("ledger")
	for range 4 {
		placeOn(t, pool, "l1", 0)
	}
	status := make(chan int, 1)
	go func() { status <- g.entries[0].send("GET", "/read/1", "").StatusCode }()
	require.Eventually(t, func() bool { return strings.Contains(pool.State(), "1 waiting") }, waitFor, time.Millisecond)
	g.cut(t, 0)
	require.Equal(t, 200, <-status)
}

// TestSlowCallerOfCutEntryStopsTheServer checks backpressure: a stream that its caller
// does not read stops at the server.
func TestSlowCallerOfCutEntryStopsTheServer(t *testing.T) {
	written := make(chan int, 1)
	scribe := newFakeServer(t, "s1", func(r *received) {
		r.beginStream()
		_ = r.conn.SetWriteDeadline(time.Now().Add(700 * time.Millisecond))
		word := strings.Repeat("w", 32<<10)
		for i := 1; ; i++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, word)
			if _, err := fmt.Fprintf(r.conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				written <- i
				return
			}
		}
	})
	g := cutFirst(t, 2, oneOfEach(newFakeServer(t, "l1", serveDone), scribe))
	conn, err := net.Dial("tcp", g.entries[0].ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = fmt.Fprintf(conn, "POST /draft/1 HTTP/1.1\r\nHost: %s\r\nId: slow\r\nKey: %s\r\nModel: %s\r\nContent-Length: 0\r\n\r\n", testHost, testKey, testModel)
	line, err := bufio.NewReader(conn).ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "200")
	select {
	case n := <-written:
		require.Less(t, n, 2000, "64 MB were taken from the server for a caller that reads nothing")
	case <-time.After(waitFor):
		t.Fatal("the server was never stopped")
	}
}

// TestLeavingEntryServesWhatNoOtherCan guards against refusals while the only entry with links
// shuts down.
func TestLeavingEntryServesWhatNoOtherCan(t *testing.T) {
	g := cutFirst(t, 3, sound(t))
	leaving := g.entries[1]
	leaving.state.SetLeaving()
	leaving.server.BeginShutdown(time.Now().Add(waitFor), waitFor/2)
	infos := slices.Clone(g.entries[0].view.Entries)
	infos[1].Leaving = true
	g.entries[0].view.Entries = infos
	g.entries[0].apply()
	served, sent := g.entries[0].sendAll(3)
	require.Equal(t, sent, served)
	require.NotContains(t, leaving.logs.String(), "forwarded_by", "another entry has links")
	g.cut(t, 2)
	served, sent = g.entries[0].sendAll(3)
	require.Equal(t, sent, served)
	require.Contains(t, leaving.logs.String(), "forwarded_by")
}

// The first entry passed on the 403 of an entry that had been started again.
func TestRequestsMoveOnFromRestartedEntry(t *testing.T) {
	for entries, moves := range map[int]bool{2: false, 3: true} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			g := cutFirst(t, entries, sound(t))
			infos := slices.Clone(g.entries[0].view.Entries)
			infos[1].ID = "e1-former"
			g.entries[0].view.Entries = infos
			g.entries[0].apply()
			served, sent := g.entries[0].sendAll(3)
			if moves {
				require.Equal(t, sent, served)
				return
			}
			require.Zero(t, served)
			res := g.entries[0].send("GET", "/read/1", "")
			require.Equal(t, 503, res.StatusCode, "a promise, and no refusal of a proper request")
		})
	}
}

func TestForwardsSpreadOverEntries(t *testing.T) {
	f, now := newForwardTable(), time.Now()
	self := api.EntryInfo{ID: "self", Domain: "a", Live: true}
	entries := make([]api.EntryInfo, 0, 7)
	entries = append(entries, self)
	for i := range 6 {
		entries = append(entries, api.EntryInfo{
			ID: api.EntryID(fmt.Sprintf("e%d", i)), Domain: api.FailureDomain("ab"[i%2 : i%2+1]), Live: i != 4, Leaving: i == 5, ForwardAddress: "x",
		})
	}
	f.markLost("e3", now.Add(time.Second))
	counts := map[api.EntryID]int{}
	for range 30 {
		counts[f.pick(self, entries, nil, now).ID]++
	}
	require.Zero(t, counts["self"]+counts["e3"]+counts["e4"]+counts["e5"], "cut, dead or leaving: %v", counts)
	require.Greater(t, counts["e0"], 7, "%v", counts)
	require.Greater(t, counts["e2"], 7, "%v", counts)
	require.Greater(t, counts["e1"], 5, "%v", counts)
	require.GreaterOrEqual(t, min(counts["e0"], counts["e2"]), counts["e1"], "the own failure domain is preferred: %v", counts)
	require.Equal(t, api.EntryID("e5"), f.pick(self, entries, []api.EntryID{"e0", "e1", "e2"}, now).ID, "a leaving one comes last")
	require.Nil(t, f.pick(self, entries, []api.EntryID{"e0", "e1", "e2", "e5"}, now), "each entry is tried once")
}

// TestConvergenceOnEntriesWithLinks plays 330 entries of which 220 are cut: nearly every
// request finds one of the others within its tries.
func TestConvergenceOnEntriesWithLinks(t *testing.T) {
	f, now := newForwardTable(), time.Now()
	self := api.EntryInfo{ID: "self", Domain: "a", Live: true}
	entries := make([]api.EntryInfo, 0, 330)
	for i := range 330 {
		entries = append(entries, api.EntryInfo{ID: api.EntryID(fmt.Sprintf("e%03d", i)), Domain: api.FailureDomain(fmt.Sprint(i % 11)), Live: true, ForwardAddress: "x"})
	}
	failed := 0
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		var tried []api.EntryID
		found := false
		for !found && len(tried) < maxForwards {
			e := f.pick(self, entries, tried, now)
			tried = append(tried, e.ID)
			found = e.ID >= "e220"
			f.done(e.ID)
			if found {
				f.prove(e.ID, now)
			} else {
				f.markLost(e.ID, now.Add(avoidDuration))
			}
		}
		if !found {
			failed++
		}
	}
	require.LessOrEqual(t, failed, 6, "of 300 requests")
}

// TestLeavingCallerBlamesNoEntry has a caller leave before the answer: the second entry still
// gets the next requests.
func TestLeavingCallerBlamesNoEntry(t *testing.T) {
	scribe := newFakeServer(t, "s1", hang)
	g := cutFirst(t, 2, oneOfEach(newFakeServer(t, "l1", serveDone), scribe))
	first := g.entries[0].server
	res := g.entries[0].send("POST", "/draft/1", "prompt", "Deadline", "100")
	require.Equal(t, 504, res.StatusCode)
	forwards := first.links.service("scribe").forwards
	forwards.mu.Lock()
	defer forwards.mu.Unlock()
	require.Zero(t, forwards.state(g.entries[1].server.cfg.Self.ID).avoidUntil)
}

// TestExitOfSecondEntryDeclinesResumedStream guards against a resumed stream that ends at an entry
// which exits, in place of a third one.
func TestExitOfSecondEntryDeclinesResumedStream(t *testing.T) {
	begun := make(chan struct{}, 4)
	scribe := newFakeServer(t, "s1", func(r *received) {
		r.beginStream()
		if len(r.header.Peek("Last-Event-Id")) == 0 {
			r.events(3)
			begun <- struct{}{}
			<-r.gone
			return
		}
		r.events(6)
		r.endStream()
	})
	g := newEntryGroup(t, 3, oneOfEach(newFakeServer(t, "l1", serveDone), scribe))
	g.entries[1].server.shutdown.cut.Store(true)
	res := g.entries[0].send("POST", "/draft/1", "prompt")
	<-begun
	g.entries[0].server.links.service("scribe").forwards.prove("e2", time.Now().Add(time.Minute))
	g.cut(t, 0)
	body, whole := text(res)
	require.NotContains(t, g.logs(), "panic", g.logs())
	require.NotContains(t, g.logs(), "nil pointer", g.logs())
	require.True(t, whole, g.logs())
	require.Equal(t, wholeStream(6), body)
}

// TestRunsOfCutSecondEntryIncludeChallenger guards against a request that runs on more servers than
// its route allows, as an entry that exits reports one run of two.
func TestRunsOfCutSecondEntryIncludeChallenger(t *testing.T) {
	got := make(chan struct{}, 8)
	s := func(r *received) { got <- struct{}{}; <-r.gone }
	a, b := newFakeServer(t, "a", s), newFakeServer(t, "b", s)
	g := newEntryGroup(t, 3, func(h *harness, through func(*fakeServer) *fakeServer) {
		h.ledger(through(newFakeServer(t, "l1", serveDone)))
		h.scribe(through(a), through(b))
	})
	g.cut(t, 0)
	g.entries[0].server.links.service("scribe").forwards.prove("e2", time.Now().Add(time.Minute))
	done := make(chan int, 1)
	go func() { done <- g.entries[0].send("POST", "/draft/1", "prompt").StatusCode }()
	<-got
	<-got
	g.entries[1].server.Cut()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
	}
	require.Equal(t, int64(2), a.arrived.Load()+b.arrived.Load(), g.logs())
}

// TestSecondEntryStartsNoRunAfterItsHead guards against a run of which the first entry never learns.
func TestSecondEntryStartsNoRunAfterItsHead(t *testing.T) {
	g := newEntryGroup(t, 2, func(h *harness, through func(*fakeServer) *fakeServer) {
		h.ledger(through(newFakeServer(t, "l1", serveDone)))
		h.scribe(through(newFakeServer(t, "a", func(r *received) {
			r.beginStream()
			time.Sleep(1500 * time.Millisecond)
			r.chunk(event(1))
			time.Sleep(600 * time.Millisecond)
			for i := 2; i <= 6; i++ {
				r.chunk(event(i))
			}
			r.endStream()
		})), through(newFakeServer(t, "b-good", hang)))
	})
	pool := g.entries[1].server.state.pool("scribe/" + testModel)
	var held []*placement.Placement
	for range 100 {
		ctx, stop := context.WithTimeout(t.Context(), 30*time.Millisecond)
		pl, err := pool.Acquire(ctx, placement.Demand{Prompt: 10, Exclude: []string{"g-a"}, Deadline: time.Now().Add(time.Hour)})
		stop()
		if err != nil {
			break
		}
		held = append(held, pl)
	}
	g.cut(t, 0)
	go func() {
		time.Sleep(1600 * time.Millisecond)
		for _, pl := range held {
			pool.Release(pl)
		}
	}()
	body, whole := text(g.entries[0].send("POST", "/draft/1", "prompt", "Prompt", "10"))
	require.True(t, whole, g.logs())
	require.Equal(t, wholeStream(6), body)
	require.NotRegexp(t, `Request placed" request=r\d+ target=g-b-good`, g.entries[1].logs.String())
}
