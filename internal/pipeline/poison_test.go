package pipeline

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/shard"
)

const (
	poisonReplicas = 4
	poisonPlaces   = 3
	// poisonBound is the number of replicas that a content may cost.
	poisonBound = 2
)

// poisonWorld runs the requests of two entries side by side. It plays grants,
// engines and control, and steps only when every request waits for it, so that
// the picks alone decide what happens. It is the oracle that counts deaths.
type poisonWorld struct {
	entries []*harness
	pick    pick
	// crowded breaks the promise that a request runs alone; forgetful doesn't count
	// the first death; hasty doesn't wait until a suspect is in force.
	crowded, forgetful, hasty bool

	mu sync.Mutex
	// idle wakes the scheduler once active, the number of requests that don't wait
	// for it, is 0.
	idle     *sync.Cond
	active   int
	waiting  []*poisonRun
	running  []*poisonRun
	held     map[api.GroupID][]api.Grant
	dead     map[string]bool
	suspects map[string]api.Quarantine
	reported map[string]bool
	counted  map[string]bool
	// deaths counts the replicas that a content crashed.
	deaths map[string]int
	err    error
}

// poisonRun is a request that waits for a grant, then for the end of its run.
type poisonRun struct {
	body    string
	request shard.Request
	address string
	granted chan api.Grant
	end     chan error
}

func isPoison(body string) bool { return strings.Contains(body, "poison") }

func newPoisonWorld(p pick, mutate func(*poisonWorld, *Server)) *poisonWorld {
	w := &poisonWorld{
		pick: p, held: map[api.GroupID][]api.Grant{}, dead: map[string]bool{},
		suspects: map[string]api.Quarantine{}, reported: map[string]bool{}, counted: map[string]bool{}, deaths: map[string]int{},
	}
	w.idle = sync.NewCond(&w.mu)
	view := testView()
	view.Revision++
	template := view.Groups[0]
	view.Groups = nil
	for i := range poisonReplicas {
		g := template
		g.ID, g.Address = api.GroupID(fmt.Sprintf("g%d", i)), fmt.Sprintf("engine%d", i)
		view.Groups = append(view.Groups, g)
	}
	for range 2 {
		h := newHarness(Settings{RequestTimeout: time.Hour, QueueWait: time.Hour, RetryBurst: 1000, MaxAttempts: 2 * poisonReplicas})
		h.state.Apply(view)
		h.server.cfg.Control, h.server.cfg.Grants, h.server.cfg.Backends = w, poisonGrants{w}, w
		if mutate != nil {
			mutate(w, h.server)
		}
		w.entries = append(w.entries, h)
	}
	return w
}

func (w *poisonWorld) fail(format string, args ...any) {
	if w.err == nil {
		w.err = errors.Newf(format, args...)
	}
}

// Call plays control with the rule of its quarantine table: the first death makes
// a suspect, and only a death of a request that ran alone counts further.
func (w *poisonWorld) Call(_ context.Context, method api.Method, params, result any) error {
	if method != api.MethodSuspect {
		return errs.New(errs.Unavailable, "call control", "", "not modelled")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	r := params.(api.SuspectRequest)
	q, known := w.suspects[r.Fingerprint]
	q.Fingerprint = r.Fingerprint
	first := !w.reported[r.Fingerprint]
	w.reported[r.Fingerprint] = true
	// A death is counted once, however often it is reported.
	death := fmt.Sprint(r.Fingerprint, r.Request, r.Group, r.Alone)
	if (!known || r.Alone) && (!first || !w.forgetful) && !w.counted[death] {
		w.counted[death] = true
		q.Deaths++
	}
	if q.Deaths >= poisonBound {
		q.UntilUnixMillis = time.Now().Add(time.Hour).UnixMilli()
	}
	w.suspects[r.Fingerprint] = q
	inForce := r.WaitMillis > 0
	for _, h := range w.entries {
		if inForce && !w.hasty {
			w.show(h)
		}
	}
	*result.(*api.SuspectResponse) = api.SuspectResponse{Quarantine: q, InForce: inForce}
	return nil
}

// show brings the view of one entry up to date.
func (w *poisonWorld) show(h *harness) {
	view := h.state.Snapshot().View
	view.Revision++
	view.Quarantines = nil
	for _, fingerprint := range slices.Sorted(maps.Keys(w.suspects)) {
		view.Quarantines = append(view.Quarantines, w.suspects[fingerprint])
	}
	h.state.Apply(view)
}

// rest makes a request wait for the scheduler.
func (w *poisonWorld) rest(queue *[]*poisonRun, r *poisonRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*queue = append(*queue, r)
	w.active--
	w.idle.Signal()
}

// poisonGrants are the grants of a poisonWorld.
type poisonGrants struct{ *poisonWorld }

func (g poisonGrants) Acquire(_ context.Context, r shard.Request) (api.Grant, error) {
	run := &poisonRun{request: r, granted: make(chan api.Grant, 1)}
	g.rest(&g.waiting, run)
	return <-run.granted, nil
}

func (poisonGrants) Valid(api.Grant) bool            { return true }
func (poisonGrants) Ended(api.Grant) <-chan struct{} { return nil }
func (g poisonGrants) Abandon(grant api.Grant)       { g.Settle(grant, shard.Result{}) }

func (g poisonGrants) Settle(grant api.Grant, _ shard.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held[grant.Group] = slices.DeleteFunc(g.held[grant.Group], func(o api.Grant) bool { return o.ID == grant.ID })
}

// Do plays the engines.
func (w *poisonWorld) Do(_ context.Context, r backend.Request) (*backend.Response, error) {
	if err := beforeWrite(r); err != nil {
		return nil, err
	}
	run := &poisonRun{body: string(r.Body), address: r.Address, end: make(chan error, 1)}
	w.rest(&w.running, run)
	if err := <-run.end; err != nil {
		return nil, err
	}
	return &backend.Response{Status: http.StatusOK, ContentType: "text/plain", Body: []byte("ok")}, nil
}

// Cancel tells whether the engine still stands.
func (w *poisonWorld) Cancel(_ context.Context, address string, _ api.RequestID) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dead[address] {
		return errRefused
	}
	return nil
}

// places returns the replicas that may take a request.
func (w *poisonWorld) places(r shard.Request) []api.GroupID {
	var free []api.GroupID
	for i := range poisonReplicas {
		id := api.GroupID(fmt.Sprintf("g%d", i))
		held := w.held[id]
		alone := len(held) == 1 && held[0].Alone
		if len(held) == 0 || w.crowded || (len(held) < poisonPlaces && !r.Alone && !alone) {
			free = append(free, id)
		}
	}
	return free
}

// settle waits until every request waits for the scheduler.
func (w *poisonWorld) settle() {
	for w.active > 0 {
		w.idle.Wait()
	}
}

// step grants one place or ends one run. It reports false once nothing is left.
func (w *poisonWorld) step() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting) == 0 && len(w.running) == 0 {
		return false
	}
	if w.pick(8) == 0 {
		w.show(w.entries[w.pick(len(w.entries))])
	}
	if len(w.running) == 0 || w.pick(3) > 0 {
		if w.grant() {
			return true
		}
	}
	if len(w.running) == 0 {
		w.fail("%d requests wait for ever", len(w.waiting))
		return false
	}
	w.end(w.running[w.pick(len(w.running))])
	return true
}

// grant gives a place to one waiting request, if one has a place.
func (w *poisonWorld) grant() bool {
	for i, run := range w.waiting {
		free := w.places(run.request)
		if len(free) == 0 {
			continue
		}
		id := free[w.pick(len(free))]
		g := api.Grant{
			ID: string(run.request.ID) + "/" + string(id), Request: run.request.ID, Group: id, Fencing: 3,
			Address: strings.Replace(string(id), "g", "engine", 1), Alone: run.request.Alone,
		}
		w.held[id] = append(w.held[id], g)
		w.waiting = slices.Delete(w.waiting, i, i+1)
		w.active++
		run.granted <- g
		w.settle()
		return true
	}
	return false
}

// end completes a run, or kills its replica with all that runs there.
func (w *poisonWorld) end(chosen *poisonRun) {
	if !isPoison(chosen.body) {
		w.running = slices.DeleteFunc(w.running, func(r *poisonRun) bool { return r == chosen })
		w.active++
		chosen.end <- nil
		w.settle()
		return
	}
	w.dead[chosen.address] = true
	w.deaths[chosen.body]++
	if n := w.deaths[chosen.body]; n > poisonBound {
		w.fail("%s died on %d replicas", chosen.body, n)
	}
	for _, r := range slices.Clone(w.running) {
		if r.address != chosen.address {
			continue
		}
		w.running = slices.DeleteFunc(w.running, func(o *poisonRun) bool { return o == r })
		w.active++
		r.end <- errBroken
		w.settle()
	}
	clear(w.dead)
}

// round sends some requests at once, of which up to two are poison, and runs them
// to their ends.
func (w *poisonWorld) round() {
	var wg sync.WaitGroup
	prompts := []string{"poison a", "poison b", "lid 1", "lid 2", "lid 3", "lid 4", "lid 5"}
	w.mu.Lock()
	for _, prompt := range prompts {
		if w.pick(4) == 0 {
			continue
		}
		h := w.entries[w.pick(len(w.entries))]
		w.active++
		wg.Go(func() { w.send(h, prompt) })
		w.settle()
	}
	w.mu.Unlock()
	for w.step() {
	}
	if w.err == nil {
		wg.Wait()
	}
}

// send makes one request and checks what it is told.
func (w *poisonWorld) send(h *harness, prompt string) {
	body := fmt.Sprintf(`{"model":"scribe-1","messages":[{"content":"%s"}]}`, prompt)
	a := h.pass(http.MethodPost, "/v1/chat/completions", "", body)
	w.mu.Lock()
	defer w.mu.Unlock()
	if !isPoison(body) && a.outcome() != api.OutcomeComplete {
		w.fail("innocent %q is told %d %s", prompt, a.status, a.body)
	}
	w.active--
	w.idle.Signal()
}

// TestPoisonFuzz checks that a request which crashes its replicas costs at most
// two of them, however often it is sent and beside another such request, and that
// every other request is served.
func TestPoisonFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newPoisonWorld(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") }, nil)
		for range 3 {
			w.round()
		}
		if w.err != nil {
			rt.Fatal(w.err)
		}
	})
}

// crowdedAdmit asks for no replica of its own.
type crowdedAdmit struct{ admit }

func (f crowdedAdmit) apply(c *call) error {
	c.alone = false
	return f.admit.apply(c)
}

func TestPoisonCheckerCatchesBrokenVariants(t *testing.T) {
	for _, tc := range []struct {
		name   string
		want   string
		mutate func(*poisonWorld, *Server)
	}{
		{"suspect is not isolated", "died on 3 replicas", func(_ *poisonWorld, s *Server) { s.order.attempt[0] = crowdedAdmit{admit{s}} }},
		{"replica of a suspect is shared", "innocent", func(w *poisonWorld, _ *Server) { w.crowded = true }},
		{"first death is not counted", "died on 3 replicas", func(w *poisonWorld, _ *Server) { w.forgetful = true }},
		{"next send overtakes the view", "died on 3 replicas", func(w *poisonWorld, _ *Server) { w.hasty = true }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var found error
			for seed := uint64(0); seed < 100 && found == nil; seed++ {
				w := newPoisonWorld(rand.New(rand.NewPCG(seed, 5)).IntN, tc.mutate)
				for range 3 {
					w.round()
				}
				found = w.err
			}
			require.ErrorContains(t, found, tc.want)
		})
	}
}
