package ingress

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
)

// cutMode is what happens to the links of an entry to all servers.
type cutMode string

const (
	linksWork cutMode = ""
	// linksSilent drops everything, linksRefused resets connections and refuses new ones,
	// and linksKept refuses only new ones.
	linksSilent  cutMode = "silent"
	linksRefused cutMode = "refused"
	linksKept    cutMode = "kept"
)

// serverLinks are the links of one entry to servers, through proxies that a test can cut.
type serverLinks struct {
	t       *testing.T
	mu      sync.Mutex
	changed *sync.Cond
	mode    cutMode
	proxies map[string]bool
	conns   map[net.Conn]bool
	// forwards are the connections to other entries.
	forwards []net.Conn
}

func newServerLinks(t *testing.T) *serverLinks {
	l := &serverLinks{t: t, proxies: make(map[string]bool), conns: make(map[net.Conn]bool)}
	l.changed = sync.NewCond(&l.mu)
	t.Cleanup(func() { l.set(linksRefused) })
	return l
}

// set cuts the links, or joins them again.
func (l *serverLinks) set(mode cutMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	l.changed.Broadcast()
	if mode != linksRefused {
		return
	}
	for c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	clear(l.conns)
}

// dial is the dialer of the entry.
func (l *serverLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	mode := l.mode
	if !l.proxies[address] {
		mode = linksWork
	}
	l.mu.Unlock()
	switch mode {
	case linksSilent:
		<-ctx.Done()
		return nil, ctx.Err()
	case linksRefused, linksKept:
		return nil, syscall.ECONNREFUSED
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, network, address)
	if err == nil && !l.isProxy(address) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.forwards = append(l.forwards, c)
	}
	return c, err
}

func (l *serverLinks) isProxy(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.proxies[address]
}

// breakForwards closes the connections to other entries.
func (l *serverLinks) breakForwards() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.forwards {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	l.forwards = nil
}

// through returns a server that the entry reaches through a proxy.
func (l *serverLinks) through(s *fakeServer) *fakeServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(l.t, err)
	l.t.Cleanup(func() { _ = ln.Close() })
	l.mu.Lock()
	l.proxies[ln.Addr().String()] = true
	l.mu.Unlock()
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", s.ln.Addr().String())
			if err != nil {
				_ = near.Close()
				continue
			}
			l.mu.Lock()
			l.conns[near], l.conns[far] = true, true
			l.mu.Unlock()
			go l.copy(near, far)
			go l.copy(far, near)
		}
	}()
	return &fakeServer{name: s.name, ln: ln}
}

// copy moves bytes while the links are not silent.
func (l *serverLinks) copy(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		for l.mode == linksSilent {
			l.changed.Wait()
		}
		l.mu.Unlock()
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// entryGroup is several entries of one system before the same servers.
type entryGroup struct {
	entries []*harness
	links   []*serverLinks
}

// newEntryGroup starts entries that know each other.
func newEntryGroup(t *testing.T, n int, servers func(h *harness, through func(*fakeServer) *fakeServer)) *entryGroup {
	t.Helper()
	g := &entryGroup{}
	infos := make([]api.EntryInfo, 0, n)
	for i := range n {
		info := api.EntryInfo{ID: api.EntryID("e" + string(rune('1'+i))), Incarnation: 1, Domain: "cairo", Live: true}
		links := newServerLinks(t)
		h := newEntryAt(t, &info, backend.Config{DialTimeout: 400 * time.Millisecond, Dial: links.dial})
		ctx, stop := context.WithCancel(context.Background())
		var loop sync.WaitGroup
		loop.Go(func() { _ = h.server.Run(ctx) })
		t.Cleanup(func() { stop(); loop.Wait() })
		infos = append(infos, info)
		g.entries, g.links = append(g.entries, h), append(g.links, links)
	}
	for i, h := range g.entries {
		h.view.Entries = infos
		servers(h, g.links[i].through)
	}
	return g
}

// logs returns the logs of all entries.
func (g *entryGroup) logs() string {
	var out strings.Builder
	for _, h := range g.entries {
		fmt.Fprintf(&out, "\n%s:\n%s", h.server.cfg.Self.ID, h.logs)
	}
	return out.String()
}

// cutKinds are the requests of the tests: a repeatable call, one that runs once, a stream.
var cutKinds = []struct{ method, path, want string }{
	{"GET", "/read/1", "done"}, {"POST", "/post/1", "done"}, {"POST", "/draft/1", wholeStream(3)},
}

func serveDone(r *received) { r.ok("done") }

// threeOfEach returns three servers of each service, which answer at once.
func threeOfEach(t *testing.T) (ledgers, scribes [3]*fakeServer) {
	for i := range ledgers {
		ledgers[i] = newFakeServer(t, fmt.Sprintf("l%d", i), serveDone)
		scribes[i] = newFakeServer(t, fmt.Sprintf("s%d", i), serveEvents(3))
	}
	return ledgers, scribes
}

// sound are three servers of each service, which answer at once.
func sound(t *testing.T) func(*harness, func(*fakeServer) *fakeServer) {
	ledgers, scribes := threeOfEach(t)
	return func(h *harness, through func(*fakeServer) *fakeServer) {
		for i := range ledgers {
			h.ledger(through(ledgers[i]))
			h.scribe(through(scribes[i]))
		}
	}
}

// sendAll sends each kind of request several times at once and returns how many were served.
func (h *harness) sendAll(rounds int) (served, sent int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range rounds {
		for _, kind := range cutKinds {
			sent++
			wg.Go(func() {
				began := time.Now()
				res := h.send(kind.method, kind.path, "body", "Deadline", "1500")
				body, err := io.ReadAll(res.Body)
				mu.Lock()
				defer mu.Unlock()
				if err == nil && res.StatusCode == 200 && string(body) == kind.want {
					served++
					return
				}
				h.t.Logf("%s %s, request %s: status %d after %s, err %v, body %q",
					kind.method, kind.path, res.Header.Get("Id"), res.StatusCode, time.Since(began), err, body)
			})
		}
	}
	wg.Wait()
	return served, sent
}

// TestCallersOfCutEntryAreServed guards against entries that fail their callers while they
// have no links to any server.
func TestCallersOfCutEntryAreServed(t *testing.T) {
	for _, mode := range []cutMode{linksSilent, linksRefused, linksKept} {
		t.Run(string(mode), func(t *testing.T) {
			g := newEntryGroup(t, 2, sound(t))
			served, sent := g.entries[0].sendAll(2)
			require.Equal(t, sent, served, "before the cut: %s", g.logs())
			g.links[0].set(mode)
			// The first requests show that the links are lost.
			for range 3 {
				g.entries[0].sendAll(2)
			}
			served, sent = g.entries[0].sendAll(5)
			require.Equal(t, sent, served, "served of those sent after detection: %s", g.logs())
		})
	}
}

// TestUnsentAttemptsLeaveRetryBudget guards against retries of requests that never left the
// entry using up the budget of those that did.
func TestUnsentAttemptsLeaveRetryBudget(t *testing.T) {
	h := newHarness(t)
	h.server.cfg.Settings.RetryRatio, h.server.cfg.Settings.RetryAllowance = 0, 0
	gone := newFakeServer(t, "a-gone", serveDone)
	_ = gone.ln.Close()
	good := newFakeServer(t, "b-good", serveDone)
	h.ledger(gone, good)
	pool := h.server.state.pool("ledger")
	// The pool prefers the server that is gone.
	pl := placeOn(t, pool, "b-good", 0)
	t.Cleanup(func() { pool.Release(pl) })
	for range 8 {
		require.Equal(t, 200, h.send("POST", "/post/1", "deposit").StatusCode)
	}
	require.Contains(t, h.logs.String(), "unsent=true")
}

// TestServiceOutOfReachIsServedByAnother guards against an entry that fails the requests for
// one service, of which it reaches no server, while it reaches those of others.
func TestServiceOutOfReachIsServedByAnother(t *testing.T) {
	ledgers, scribes := threeOfEach(t)
	others := newServerLinks(t)
	g := newEntryGroup(t, 2, func(h *harness, through func(*fakeServer) *fakeServer) {
		for i := range ledgers {
			h.ledger(others.through(ledgers[i]))
			h.scribe(through(scribes[i]))
		}
	})
	served, sent := g.entries[0].sendAll(2)
	require.Equal(t, sent, served, "before the cut")
	g.links[0].set(linksSilent)
	for range 4 {
		g.entries[0].sendAll(2)
	}
	served, sent = g.entries[0].sendAll(5)
	require.Equal(t, sent, served, "served of those sent after detection: %s", g.entries[0].logs)
	require.False(t, g.entries[0].server.links.all.Lost(), "the other service is reached")
}
