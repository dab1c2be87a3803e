package ingress

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runEvent is an event that names its run, and the event that the run goes on behind.
func runEvent(i int, run string, after int) string {
	return fmt.Sprintf("id: %d\ndata: %s after %d\n\n", i, run, after)
}

// lastEventID is the event that a request goes on behind.
func (r *received) lastEventID() int {
	last, _ := strconv.Atoi(string(r.header.Peek("Last-Event-Id")))
	return last
}

var runEventPattern = regexp.MustCompile(`^id: (\d+)\ndata: (\S+) after (\d+)$`)

// requireNoJoint checks that each event of a stream comes once, and that another run begins
// only behind the event that it was asked to go on behind. It returns the number of events.
func requireNoJoint(t *testing.T, body string, whole bool, logs func() string) int {
	t.Helper()
	var n int
	var run string
	for text := range strings.SplitSeq(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		if text == "" {
			break
		}
		match := runEventPattern.FindStringSubmatch(text)
		require.NotNil(t, match, "event %q", text)
		id, _ := strconv.Atoi(match[1])
		after, _ := strconv.Atoi(match[3])
		require.Equal(t, n+1, id, "whole=%v\n%s\n%s", whole, body, logs())
		if match[2] != run {
			require.Equal(t, n, after, "run %s follows event %d of run %s, whole=%v\n%s\n%s", match[2], n, run, whole, body, logs())
		}
		n, run = id, match[2]
	}
	return n
}

// TestRunsOfTwoServersAreNotJoined guards against a stream that gets an event of a server that was
// silent, and goes on with another run that never had it.
func TestRunsOfTwoServersAreNotJoined(t *testing.T) {
	const last = 6
	for name, c := range map[string]struct {
		// resumed is how many events the silent server sends when it goes on.
		resumed int
		ends    func(*received)
		// second is the event from which on the other run is delivered, 0 if it is not.
		second int
	}{
		"one event, then silent":   {1, func(r *received) { <-r.gone }, 4},
		"one event, then closed":   {1, func(r *received) { _ = r.conn.Close() }, 4},
		"two events":               {2, func(r *received) { <-r.gone }, 0},
		"the rest":                 {3, func(r *received) { r.endStream() }, 0},
		"nothing, then closed":     {0, func(r *received) { _ = r.conn.Close() }, 4},
		"part of an event, closed": {0, func(r *received) { r.chunk("id: 4\nda"); _ = r.conn.Close() }, 4},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			asked, resumed := make(chan struct{}), make(chan struct{})
			h.scribe(newFakeServer(t, "a-pausing", func(r *received) {
				r.beginStream()
				for i := 1; i <= 3; i++ {
					r.chunk(runEvent(i, "a", 0))
				}
				<-asked
				for i := range c.resumed {
					r.chunk(runEvent(4+i, "a", 0))
				}
				close(resumed)
				c.ends(r)
			}), newFakeServer(t, "b-good", func(r *received) {
				close(asked)
				<-resumed
				select {
				case <-r.gone:
					return
				case <-time.After(2 * pollInterval):
				}
				r.beginStream()
				for i := r.lastEventID() + 1; i <= last; i++ {
					r.chunk(runEvent(i, "b", r.lastEventID()))
				}
				r.endStream()
			}))
			h.loadGoodReplica()
			body, whole := text(h.send("POST", "/draft/1", "prompt", "Prompt", "10"))
			n := requireNoJoint(t, body, whole, h.logs.String)
			if c.second > 0 {
				require.True(t, whole, h.logs.String())
				require.Equal(t, last, n)
				require.Contains(t, body, runEvent(c.second, "b", c.second-1))
			} else {
				require.Equal(t, 3+c.resumed, n)
				require.NotContains(t, body, " b ")
			}
		})
	}
}

// TestEventIsNotWithheldForLonger guards against a caller that gives up its stream while the entry
// waits for another server.
func TestEventIsNotWithheldForLonger(t *testing.T) {
	h := newHarness(t)
	h.scribe(newFakeServer(t, "a-pausing", func(r *received) {
		r.beginStream()
		r.events(3)
		select {
		case <-r.gone:
			return
		case <-time.After(silence):
		}
		r.chunk(event(4))
		<-r.gone
	}), newFakeServer(t, "b-silent", hang))
	pool := h.server.state.pool("scribe/" + testModel)
	pl := placeOn(t, pool, "g-b-silent", 10_000)
	defer pool.Release(pl)
	res := h.send("POST", "/draft/1", "prompt", "Prompt", "10")
	arrived := make(map[string]time.Time)
	for lines := bufio.NewScanner(res.Body); len(arrived) < 4 && lines.Scan(); {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			arrived[id] = time.Now()
		}
	}
	require.Len(t, arrived, 4, h.logs.String())
	require.Less(t, arrived["4"].Sub(arrived["3"]), minEventTimeout)
}

// erraticServer answers with runs that pause, break off or hang at random.
type erraticServer struct {
	name string
	last int
	mu   sync.Mutex
	rng  *rand.Rand
	runs int
}

// erraticPlan is what one run does before each of its events, and at its end.
type erraticPlan struct {
	run     string
	begin   time.Duration
	pauses  []time.Duration
	split   []bool
	breakAt int
	hangs   bool
}

func (s *erraticServer) plan(events int) erraticPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	p := erraticPlan{run: fmt.Sprintf("%s/%d", s.name, s.runs), begin: time.Duration(s.rng.IntN(500)) * time.Millisecond, breakAt: -1}
	silent := s.rng.IntN(events + 1)
	for i := range events {
		pause := time.Duration(s.rng.IntN(60)) * time.Millisecond
		if i == silent {
			pause = replicaStallTimeout + time.Duration(s.rng.IntN(1200))*time.Millisecond
		}
		p.pauses, p.split = append(p.pauses, pause), append(p.split, s.rng.IntN(4) == 0)
	}
	if s.rng.IntN(3) == 0 {
		p.breakAt, p.hangs = min(events, silent+s.rng.IntN(4)), s.rng.IntN(2) == 0
	}
	return p
}

func (s *erraticServer) answer(r *received) {
	after := r.lastEventID()
	p := s.plan(max(0, s.last-after))
	wait := func(d time.Duration) bool {
		select {
		case <-r.gone:
			return false
		case <-time.After(d):
			return true
		}
	}
	if !wait(p.begin) {
		return
	}
	r.beginStream()
	for i, pause := range p.pauses {
		if i == p.breakAt {
			if p.hangs {
				<-r.gone
			}
			_ = r.conn.Close()
			return
		}
		if !wait(pause) {
			return
		}
		text := runEvent(after+i+1, p.run, after)
		if p.split[i] {
			r.chunk(text[:5])
			text = text[5:]
		}
		r.chunk(text)
	}
	r.endStream()
}

// TestRandomSilencesJoinNoRuns plays silences, ends and slow servers in random orders, with
// streams of callers and streams that another entry forwards.
func TestRandomSilencesJoinNoRuns(t *testing.T) {
	const (
		seeds   = 60
		streams = 3
		last    = 8
	)
	var whole, switched sync.Map
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(seeds) {
			t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
				t.Parallel()
				servers := make([]*fakeServer, 0, 3)
				for i, name := range []string{"a", "b", "c"} {
					s := &erraticServer{name: name, last: last, rng: rand.New(rand.NewPCG(seed, uint64(i)))}
					servers = append(servers, newFakeServer(t, name, s.answer))
				}
				h, logs := erraticEntry(t, seed%4 == 0, int(2+seed%2), servers)
				var callers sync.WaitGroup
				type got struct {
					body  string
					whole bool
				}
				results := make([]got, streams)
				for i := range results {
					callers.Go(func() {
						body, whole := text(h.send("POST", "/draft/1", "prompt", "Prompt", "10"))
						results[i] = got{body, whole}
					})
				}
				callers.Wait()
				for i, g := range results {
					if strings.HasPrefix(g.body, "{") {
						continue // refused
					}
					n := requireNoJoint(t, g.body, g.whole, logs)
					if !g.whole {
						continue
					}
					require.Equal(t, last, n, "%s\n%s", g.body, logs())
					whole.Store(fmt.Sprint(seed, "/", i), true)
					if strings.Count(g.body, "after 0") < last {
						switched.Store(fmt.Sprint(seed, "/", i), true)
					}
				}
			})
		}
	})
	require.Greater(t, length(&whole), seeds, "streams that are whole")
	require.Greater(t, length(&switched), 5, "streams that another server went on with")
}

func length(m *sync.Map) (n int) {
	m.Range(func(any, any) bool { n++; return true })
	return n
}

// erraticEntry returns an entry in front of servers. If forwards is set, it has lost its links
// and forwards its requests to other entries.
func erraticEntry(t *testing.T, forwards bool, maxAttempts int, servers []*fakeServer) (h *harness, logs func() string) {
	t.Helper()
	p := publication()
	for i := range p.Routes {
		p.Routes[i].MaxAttempts = maxAttempts
	}
	if !forwards {
		h := newHarness(t)
		h.view.Publication = packed(t, p)
		h.scribe(servers...)
		return h, h.logs.String
	}
	ledger := newFakeServer(t, "l1", serveDone)
	g := cutFirst(t, 3, func(h *harness, through func(*fakeServer) *fakeServer) {
		h.view.Publication = packed(t, p)
		h.ledger(through(ledger))
		for _, s := range servers {
			h.scribe(through(s))
		}
	})
	return g.entries[0], g.logs
}
