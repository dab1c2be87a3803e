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
	poisonSlots    = 3
	// maxPoisonCrashes is the number of replicas that one content may crash.
	maxPoisonCrashes = 2
)

// poisonModel runs concurrent requests at two entries. It simulates grants, engines
// and control, and steps only when every request waits for it, so that the picks
// alone decide what happens. It counts the crashes of each content.
type poisonModel struct {
	entries []*harness
	pick    pick
	// ignoreAlone places other requests beside one that must run alone;
	// skipFirstCrash doesn't count the first crash; skipInForce doesn't update the
	// entries before a suspect is reported in force.
	ignoreAlone, skipFirstCrash, skipInForce bool

	mu sync.Mutex
	// idle wakes the scheduler once active, the number of requests that do not
	// wait for it, is 0.
	idle     *sync.Cond
	active   int
	waiting  []*poisonRun
	running  []*poisonRun
	held     map[api.GroupID][]api.Grant
	dead     map[string]bool
	suspects map[string]api.Quarantine
	reported map[string]bool
	counted  map[string]bool
	// crashes counts the replicas that a content crashed.
	crashes map[string]int
	err     error
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

func newPoisonModel(p pick, mutate func(*poisonModel, *Server)) *poisonModel {
	m := &poisonModel{
		pick: p, held: map[api.GroupID][]api.Grant{}, dead: map[string]bool{},
		suspects: map[string]api.Quarantine{}, reported: map[string]bool{}, counted: map[string]bool{}, crashes: map[string]int{},
	}
	m.idle = sync.NewCond(&m.mu)
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
		h.server.cfg.Control, h.server.cfg.Grants, h.server.cfg.Backends = m, poisonGrants{m}, m
		if mutate != nil {
			mutate(m, h.server)
		}
		m.entries = append(m.entries, h)
	}
	return m
}

func (m *poisonModel) fail(format string, args ...any) {
	if m.err == nil {
		m.err = errors.Newf(format, args...)
	}
}

// Call simulates control with the rule of its quarantine table: the first crash
// makes a suspect, and only a crash under a request that ran alone counts further.
func (m *poisonModel) Call(_ context.Context, method api.Method, params, result any) error {
	if method != api.MethodSuspect {
		return errs.New(errs.Unavailable, "call control", "", "not modelled")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	r := params.(api.SuspectRequest)
	q, known := m.suspects[r.Fingerprint]
	q.Fingerprint = r.Fingerprint
	first := !m.reported[r.Fingerprint]
	m.reported[r.Fingerprint] = true
	// A crash is counted once, however often it is reported.
	crash := fmt.Sprint(r.Fingerprint, r.Request, r.Group, r.Alone)
	if (!known || r.Alone) && (!first || !m.skipFirstCrash) && !m.counted[crash] {
		m.counted[crash] = true
		q.Deaths++
	}
	if q.Deaths >= maxPoisonCrashes {
		q.UntilUnixMillis = time.Now().Add(time.Hour).UnixMilli()
	}
	m.suspects[r.Fingerprint] = q
	inForce := r.WaitMillis > 0
	for _, h := range m.entries {
		if inForce && !m.skipInForce {
			m.updateView(h)
		}
	}
	*result.(*api.SuspectResponse) = api.SuspectResponse{Quarantine: q, InForce: inForce}
	return nil
}

// updateView applies the current quarantines to the view of one entry.
func (m *poisonModel) updateView(h *harness) {
	view := h.state.Snapshot().View
	view.Revision++
	view.Quarantines = nil
	for _, fingerprint := range slices.Sorted(maps.Keys(m.suspects)) {
		view.Quarantines = append(view.Quarantines, m.suspects[fingerprint])
	}
	h.state.Apply(view)
}

// enqueue makes a request wait for the scheduler.
func (m *poisonModel) enqueue(queue *[]*poisonRun, r *poisonRun) {
	m.mu.Lock()
	defer m.mu.Unlock()
	*queue = append(*queue, r)
	m.active--
	m.idle.Signal()
}

// poisonGrants implements Granter for a poisonModel.
type poisonGrants struct{ *poisonModel }

func (g poisonGrants) Acquire(_ context.Context, r shard.Request) (api.Grant, error) {
	run := &poisonRun{request: r, granted: make(chan api.Grant, 1)}
	g.enqueue(&g.waiting, run)
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

// Do simulates the engines.
func (m *poisonModel) Do(_ context.Context, r backend.Request) (*backend.Response, error) {
	if err := beforeWrite(r); err != nil {
		return nil, err
	}
	run := &poisonRun{body: string(r.Body), address: r.Address, end: make(chan error, 1)}
	m.enqueue(&m.running, run)
	if err := <-run.end; err != nil {
		return nil, err
	}
	return &backend.Response{Status: http.StatusOK, ContentType: "text/plain", Body: []byte("ok")}, nil
}

// Cancel fails if the engine's process is gone.
func (m *poisonModel) Cancel(_ context.Context, address string, _ api.RequestID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead[address] {
		return errRefused
	}
	return nil
}

// freeReplicas returns the replicas that may take a request.
func (m *poisonModel) freeReplicas(r shard.Request) []api.GroupID {
	var free []api.GroupID
	for i := range poisonReplicas {
		id := api.GroupID(fmt.Sprintf("g%d", i))
		held := m.held[id]
		alone := len(held) == 1 && held[0].Alone
		if len(held) == 0 || m.ignoreAlone || (len(held) < poisonSlots && !r.Alone && !alone) {
			free = append(free, id)
		}
	}
	return free
}

// waitIdle waits until every request waits for the scheduler.
func (m *poisonModel) waitIdle() {
	for m.active > 0 {
		m.idle.Wait()
	}
}

// step grants one request a replica or ends one run. It returns false once no
// request is left.
func (m *poisonModel) step() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.waiting) == 0 && len(m.running) == 0 {
		return false
	}
	if m.pick(8) == 0 {
		m.updateView(m.entries[m.pick(len(m.entries))])
	}
	if len(m.running) == 0 || m.pick(3) > 0 {
		if m.grant() {
			return true
		}
	}
	if len(m.running) == 0 {
		m.fail("deadlock: %d requests wait and none runs", len(m.waiting))
		return false
	}
	m.end(m.running[m.pick(len(m.running))])
	return true
}

// grant gives a replica to the first waiting request for which one is free.
func (m *poisonModel) grant() bool {
	for i, run := range m.waiting {
		free := m.freeReplicas(run.request)
		if len(free) == 0 {
			continue
		}
		id := free[m.pick(len(free))]
		g := api.Grant{
			ID: string(run.request.ID) + "/" + string(id), Request: run.request.ID, Group: id, Fencing: 3,
			Address: strings.Replace(string(id), "g", "engine", 1), Alone: run.request.Alone,
		}
		m.held[id] = append(m.held[id], g)
		m.waiting = slices.Delete(m.waiting, i, i+1)
		m.active++
		run.granted <- g
		m.waitIdle()
		return true
	}
	return false
}

// end completes a run, or crashes its replica with all requests that run there.
func (m *poisonModel) end(chosen *poisonRun) {
	if !isPoison(chosen.body) {
		m.running = slices.DeleteFunc(m.running, func(r *poisonRun) bool { return r == chosen })
		m.active++
		chosen.end <- nil
		m.waitIdle()
		return
	}
	m.dead[chosen.address] = true
	m.crashes[chosen.body]++
	if n := m.crashes[chosen.body]; n > maxPoisonCrashes {
		m.fail("%s crashed %d replicas", chosen.body, n)
	}
	for _, r := range slices.Clone(m.running) {
		if r.address != chosen.address {
			continue
		}
		m.running = slices.DeleteFunc(m.running, func(o *poisonRun) bool { return o == r })
		m.active++
		r.end <- errBroken
		m.waitIdle()
	}
	clear(m.dead)
}

// round sends some concurrent requests, of which up to two are poison, and runs
// them to their ends.
func (m *poisonModel) round() {
	var wg sync.WaitGroup
	prompts := []string{"poison a", "poison b", "lid 1", "lid 2", "lid 3", "lid 4", "lid 5"}
	m.mu.Lock()
	for _, prompt := range prompts {
		if m.pick(4) == 0 {
			continue
		}
		h := m.entries[m.pick(len(m.entries))]
		m.active++
		wg.Go(func() { m.send(h, prompt) })
		m.waitIdle()
	}
	m.mu.Unlock()
	for m.step() {
	}
	if m.err == nil {
		wg.Wait()
	}
}

// send makes one request and checks that it is served unless it is poison.
func (m *poisonModel) send(h *harness, prompt string) {
	body := fmt.Sprintf(`{"model":"scribe-1","messages":[{"content":"%s"}]}`, prompt)
	a := h.serveLocal(http.MethodPost, "/v1/chat/completions", "", body)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !isPoison(body) && a.outcome() != api.OutcomeComplete {
		m.fail("harmless %q was not served: %d %s", prompt, a.status, a.body)
	}
	m.active--
	m.idle.Signal()
}

// TestPoisonFuzz checks that a request that crashes its replicas crashes at most
// two of them, however often it is sent and beside another such request, and that
// every other request is served.
func TestPoisonFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newPoisonModel(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") }, nil)
		for range 3 {
			m.round()
		}
		if m.err != nil {
			rt.Fatal(m.err)
		}
	})
}

// sharingAdmit never asks for a replica without other requests.
type sharingAdmit struct{ admit }

func (f sharingAdmit) apply(c *call) error {
	c.alone = false
	return f.admit.apply(c)
}

func TestPoisonCheckerCatchesBrokenVariants(t *testing.T) {
	for _, tc := range []struct {
		name   string
		want   string
		mutate func(*poisonModel, *Server)
	}{
		{"suspect is not isolated", "crashed 3 replicas", func(_ *poisonModel, s *Server) { s.order.attempt[0] = sharingAdmit{admit{s}} }},
		{"replica of a suspect is shared", "harmless", func(m *poisonModel, _ *Server) { m.ignoreAlone = true }},
		{"first crash is not counted", "crashed 3 replicas", func(m *poisonModel, _ *Server) { m.skipFirstCrash = true }},
		{"resend arrives before the view", "crashed 3 replicas", func(m *poisonModel, _ *Server) { m.skipInForce = true }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var found error
			for seed := uint64(0); seed < 100 && found == nil; seed++ {
				m := newPoisonModel(rand.New(rand.NewPCG(seed, 5)).IntN, tc.mutate)
				for range 3 {
					m.round()
				}
				found = m.err
			}
			require.ErrorContains(t, found, tc.want)
		})
	}
}
