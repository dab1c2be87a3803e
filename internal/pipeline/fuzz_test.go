package pipeline

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/shard"
)

// freezingGrants stops the entry now and then after a grant: its lease has run
// out when it wakes up.
type freezingGrants struct {
	*fakeGrants
	w *pathWorld
	h *harness
}

func (f freezingGrants) Acquire(ctx context.Context, r shard.Request) (api.Grant, error) {
	g, err := f.fakeGrants.Acquire(ctx, r)
	if err == nil && f.w.pick(10) == 0 {
		f.h.state.SetLease(testPast)
		f.w.stopped[f.h] = true
	}
	return g, err
}

func (w *pathWorld) freezing() *pathWorld {
	for _, h := range w.entries {
		h.server.cfg.Grants = freezingGrants{fakeGrants: h.grants, w: w, h: h}
	}
	return w
}

// actions are the steps of the fuzz test.
func (w *pathWorld) actions() map[string]func() {
	return map[string]func(){
		"stream":  w.stream,
		"whole":   w.whole,
		"deposit": w.deposit,
		"read":    w.read,
		"control": w.breakControl,
		"record":  w.expireRecords,
		"late":    w.endLate,
	}
}

func (w *pathWorld) entry() *harness { return w.entries[w.pick(len(w.entries))] }

// content returns one of many bodies; its length identifies it.
func (w *pathWorld) content(stream bool) string {
	pad := strings.Repeat("x", w.pick(40))
	return fmt.Sprintf(`{"model":"scribe-1","stream":%t,"messages":[{"content":"%s"}]}`, stream, pad)
}

func (w *pathWorld) stream() {
	body := w.content(true)
	a := w.call(w.entry(), "POST", "/v1/chat/completions", "", body)
	if a.status != 200 {
		return
	}
	if err := checkStream(a, wholeText([]byte(body))); err != nil {
		w.fail("%v: %q", err, a.body)
	}
}

// checkStream reports a stream that looks whole and is not, or the reverse, or
// one with tokens missing, repeated or foreign.
func checkStream(a answer, whole string) error {
	if a.outcome() == api.OutcomeComplete {
		if a.body != whole+": Crocusway-Outcome complete\n\ndata: [DONE]\n\n" {
			return errors.New("a complete stream is not the whole answer")
		}
		return nil
	}
	if err := checkCut(a.body); err != nil {
		return err
	}
	tokens, _, _ := strings.Cut(a.body, ": Crocusway-Outcome")
	if !strings.HasPrefix(whole, tokens) {
		return errors.New("a cut stream is not the beginning of the answer")
	}
	return nil
}

func (w *pathWorld) whole() {
	body := w.content(false)
	a := w.call(w.entry(), "POST", "/v1/chat/completions", "", body)
	if a.status == 200 && a.body != wholeText([]byte(body)) {
		w.fail("another answer: %q", a.body)
	}
}

// deposit makes a non-idempotent call, new or again, at any entry.
func (w *pathWorld) deposit() {
	key := fmt.Sprintf("k%d", w.pick(12))
	a := w.call(w.entry(), "POST", "/services/ledger/deposits", key, "deposit of "+key)
	if a.outcome() != api.OutcomeComplete {
		return
	}
	if a.body != "deposit of "+key {
		w.fail("call %s got %q", key, a.body)
	}
	if n := w.ranByKey["deposit of "+key]; n != 1 {
		w.fail("call %s is told complete and ran %d times", key, n)
	}
}

func (w *pathWorld) read() {
	a := w.call(w.entry(), "GET", "/services/ledger/orders", "", "")
	if a.status == 200 && a.outcome() != api.OutcomeComplete {
		w.fail("a whole answer is told %s", a.outcome())
	}
}

// breakControl makes control calls fail, or lets them pass again.
func (w *pathWorld) breakControl() {
	methods := []api.Method{api.MethodRecordOpen, api.MethodRecordEnd, api.MethodRecordGet, api.MethodSuspect}
	method := methods[w.pick(len(methods))]
	if w.pick(3) > 0 {
		delete(w.control.fail, method)
		return
	}
	w.control.fail[method] = errBroken
}

// endLate sends the ends of records again.
func (w *pathWorld) endLate() {
	late := w.late
	w.late = nil
	for _, r := range late {
		w.entries[0].server.endRecord(r)
	}
}

// expireRecords ends the running records of calls that are gone, as control
// does when it learns that their entry died.
func (w *pathWorld) expireRecords() {
	for key, r := range w.control.records {
		if r.State == api.RecordRunning {
			r.State = api.RecordUnknown
			w.control.records[key] = r
		}
	}
}

// step runs one action. Running records are ended first, because nothing else
// runs beside a step that could end them.
func (w *pathWorld) step(action func()) {
	w.expireRecords()
	action()
}

func TestPathFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newPathWorld(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") }, nil).freezing()
		steps := map[string]func(*rapid.T){"": func(rt *rapid.T) {
			if w.err != nil {
				rt.Fatal(w.err)
			}
		}}
		for name, action := range w.actions() {
			steps[name] = func(*rapid.T) { w.step(action) }
		}
		rt.Repeat(steps)
	})
}

// explore runs random steps on servers changed by mutate, and returns the
// first violation that the checker reports.
func explore(mutate func(*Server), runs, steps int) error {
	names := []string{"stream", "whole", "deposit", "deposit", "deposit", "read", "control", "late"}
	for seed := range runs {
		rng := rand.New(rand.NewPCG(uint64(seed), 11))
		w := newPathWorld(rng.IntN, mutate).freezing()
		actions := w.actions()
		for range steps {
			w.step(actions[names[rng.IntN(len(names))]])
		}
		if w.err != nil {
			return w.err
		}
	}
	return nil
}

// forgetfulDispatch claims that nothing was sent.
type forgetfulDispatch struct{ dispatch }

func (f forgetfulDispatch) apply(c *call) error {
	err := f.dispatch.apply(c)
	var failed *attemptError
	if errors.As(err, &failed) {
		failed.sent = false
		c.sent = false
	}
	return err
}

// carelessDispatch writes without looking at the lease and the grant again.
type carelessDispatch struct{ dispatch }

func (f carelessDispatch) apply(c *call) error {
	c.attempts++
	req := f.request(c)
	req.BeforeWrite = nil
	res, err := f.cfg.Backends.Do(f.attemptContext(c), req)
	if err != nil {
		return &attemptError{sent: true, cause: err}
	}
	c.sent = true
	c.response = res
	return nil
}

// forgetfulDeduplicate dispatches resends.
type forgetfulDeduplicate struct{ deduplicate }

func (f forgetfulDeduplicate) apply(c *call) error {
	if c.repeatable {
		return nil
	}
	record, bad := f.newRecord(c)
	if bad != nil {
		return bad
	}
	_, err := f.open(c, record)
	c.record = &record
	return err
}

// boldClassify takes every call for repeatable after its record was opened.
type boldClassify struct{ quarantine }

func (f boldClassify) apply(c *call) error {
	c.repeatable = true
	return f.quarantine.apply(c)
}

// cheerfulRelay ends every cut stream with the terminator.
type cheerfulRelay struct{ relay }

func (f cheerfulRelay) apply(c *call) error {
	err := f.relay.apply(c)
	if c.response.Stream != nil {
		c.http.Response = fasthttp.Response{}
		c.http.Response.SetBodyStream(&cheerfulReader{tokenReader: tokenReader{Server: f.Server, call: c}}, -1)
	}
	return err
}

type cheerfulReader struct {
	tokenReader
	done bool
}

func (r *cheerfulReader) Read(p []byte) (int, error) {
	n, err := r.tokenReader.Read(p)
	if errors.Is(err, io.EOF) && !r.done && r.call.outcome != api.OutcomeComplete {
		r.done = true
		return copy(p, "data: [DONE]\n\n"), nil
	}
	return n, err
}

func TestCheckerCatchesBrokenFilters(t *testing.T) {
	for _, tc := range []struct {
		name   string
		want   string
		mutate func(*Server)
	}{
		{"not-run is claimed after a byte was sent", "is told not-run and ran", func(s *Server) {
			s.cfg.Settings.MaxAttempts = 1
			s.order.attempt[2] = forgetfulDispatch{dispatch{s}}
		}},
		{"lease and grant are not rechecked", "written after the lease ran out", func(s *Server) { s.order.attempt[2] = carelessDispatch{dispatch{s}} }},
		{"record is ignored on a resend", "ran 2 times", func(s *Server) { s.order.prepare[3] = forgetfulDeduplicate{deduplicate{s}} }},
		{"non-idempotent call is retried", "ran 2 times", func(s *Server) { s.order.prepare[4] = boldClassify{quarantine{s}} }},
		{"cut stream ends with the terminator", "ends with the terminator", func(s *Server) { s.order.finish[0] = cheerfulRelay{relay{s}} }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.ErrorContains(t, explore(tc.mutate, 50, 60), tc.want)
		})
	}
}

// TestLongWalks runs more steps for each case than rapid draws; the number of
// walks is that of rapid's cases.
func TestLongWalks(t *testing.T) {
	walks, err := strconv.Atoi(flag.Lookup("rapid.checks").Value.String())
	require.NoError(t, err)
	require.NoError(t, explore(nil, walks, 60))
}
