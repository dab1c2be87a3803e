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

// pausingGrants pauses the entry at random after a grant: its lease has expired
// when it continues.
type pausingGrants struct {
	*fakeGrants
	m *pathModel
	h *harness
}

func (f pausingGrants) Acquire(ctx context.Context, r shard.Request) (api.Grant, error) {
	g, err := f.fakeGrants.Acquire(ctx, r)
	if err == nil && f.m.pick(10) == 0 {
		f.h.state.SetLease(testPast)
		f.m.stopped[f.h] = true
	}
	return g, err
}

func (m *pathModel) withPauses() *pathModel {
	for _, h := range m.entries {
		h.server.cfg.Grants = pausingGrants{fakeGrants: h.grants, m: m, h: h}
	}
	return m
}

// actions are the steps of the fuzz test.
func (m *pathModel) actions() map[string]func() {
	return map[string]func(){
		"stream":  m.stream,
		"whole":   m.whole,
		"deposit": m.deposit,
		"read":    m.read,
		"control": m.breakControl,
		"record":  m.expireRecords,
		"late":    m.retryLateEnds,
	}
}

func (m *pathModel) entry() *harness { return m.entries[m.pick(len(m.entries))] }

// content returns one of many bodies; its length identifies it.
func (m *pathModel) content(stream bool) string {
	pad := strings.Repeat("x", m.pick(40))
	return fmt.Sprintf(`{"model":"scribe-1","stream":%t,"messages":[{"content":"%s"}]}`, stream, pad)
}

func (m *pathModel) stream() {
	body := m.content(true)
	a := m.call(m.entry(), "POST", "/v1/chat/completions", "", body)
	if a.status != 200 {
		return
	}
	if err := checkStream(a, wholeText([]byte(body))); err != nil {
		m.fail("%v: %q", err, a.body)
	}
}

// checkStream returns an error if a stream is reported complete and is not, is cut
// without an error event, or has missing, repeated or foreign tokens.
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

func (m *pathModel) whole() {
	body := m.content(false)
	a := m.call(m.entry(), "POST", "/v1/chat/completions", "", body)
	if a.status == 200 && a.body != wholeText([]byte(body)) {
		m.fail("wrong answer: %q", a.body)
	}
}

// deposit makes a new or repeated non-idempotent call at any entry.
func (m *pathModel) deposit() {
	key := fmt.Sprintf("k%d", m.pick(12))
	a := m.call(m.entry(), "POST", "/services/ledger/deposits", key, "deposit of "+key)
	if a.outcome() != api.OutcomeComplete {
		return
	}
	if a.body != "deposit of "+key {
		m.fail("call %s got %q", key, a.body)
	}
	if n := m.ranByKey["deposit of "+key]; n != 1 {
		m.fail("call %s is reported complete but ran %d times", key, n)
	}
}

func (m *pathModel) read() {
	a := m.call(m.entry(), "GET", "/services/ledger/orders", "", "")
	if a.status == 200 && a.outcome() != api.OutcomeComplete {
		m.fail("a complete answer is reported as %s", a.outcome())
	}
}

// breakControl makes control calls fail, or succeed again.
func (m *pathModel) breakControl() {
	methods := []api.Method{api.MethodRecordOpen, api.MethodRecordEnd, api.MethodRecordGet, api.MethodSuspect}
	method := methods[m.pick(len(methods))]
	if m.pick(3) > 0 {
		delete(m.control.fail, method)
		return
	}
	m.control.fail[method] = errBroken
}

// retryLateEnds retries the ends of records that control has not stored.
func (m *pathModel) retryLateEnds() {
	late := m.late
	m.late = nil
	for _, r := range late {
		m.entries[0].server.endRecord(r)
	}
}

// expireRecords ends the running records, as control does when their entry is
// dead.
func (m *pathModel) expireRecords() {
	for key, r := range m.control.records {
		if r.State == api.RecordRunning {
			r.State = api.RecordUnknown
			m.control.records[key] = r
		}
	}
}

// step runs one action. Running records are ended first, because no concurrent
// call could end them during a step.
func (m *pathModel) step(action func()) {
	m.expireRecords()
	action()
}

func TestPathFuzz(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newPathModel(func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "pick") }, nil).withPauses()
		steps := map[string]func(*rapid.T){"": func(rt *rapid.T) {
			if m.err != nil {
				rt.Fatal(m.err)
			}
		}}
		for name, action := range m.actions() {
			steps[name] = func(*rapid.T) { m.step(action) }
		}
		rt.Repeat(steps)
	})
}

// runRandomWalks runs random walks on servers changed by mutate, and returns the
// first violation that the checks report.
func runRandomWalks(mutate func(*Server), runs, steps int) error {
	names := []string{"stream", "whole", "deposit", "deposit", "deposit", "read", "control", "late"}
	for seed := range runs {
		rng := rand.New(rand.NewPCG(uint64(seed), 11))
		m := newPathModel(rng.IntN, mutate).withPauses()
		actions := m.actions()
		for range steps {
			m.step(actions[names[rng.IntN(len(names))]])
		}
		if m.err != nil {
			return m.err
		}
	}
	return nil
}

// unsentDispatch reports that nothing was sent.
type unsentDispatch struct{ dispatch }

func (f unsentDispatch) apply(c *call) error {
	err := f.dispatch.apply(c)
	var failed *attemptError
	if errors.As(err, &failed) {
		failed.sent = false
		c.sent = false
	}
	return err
}

// uncheckedDispatch writes without rechecking the lease and the grant.
type uncheckedDispatch struct{ dispatch }

func (f uncheckedDispatch) apply(c *call) error {
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

// resendingDeduplicate dispatches resends.
type resendingDeduplicate struct{ deduplicate }

func (f resendingDeduplicate) apply(c *call) error {
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

// repeatableQuarantine marks every call repeatable after its record was opened.
type repeatableQuarantine struct{ quarantine }

func (f repeatableQuarantine) apply(c *call) error {
	c.repeatable = true
	return f.quarantine.apply(c)
}

// terminatingRelay ends every cut stream with the terminator.
type terminatingRelay struct{ relay }

func (f terminatingRelay) apply(c *call) error {
	err := f.relay.apply(c)
	if c.response.Stream != nil {
		c.http.Response = fasthttp.Response{}
		c.http.Response.SetBodyStream(&terminatingReader{tokenReader: tokenReader{Server: f.Server, call: c}}, -1)
	}
	return err
}

type terminatingReader struct {
	tokenReader
	done bool
}

func (r *terminatingReader) Read(p []byte) (int, error) {
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
		{"not-run is reported after a byte was sent", "is reported not-run but ran", func(s *Server) {
			s.cfg.Settings.MaxAttempts = 1
			s.order.attempt[2] = unsentDispatch{dispatch{s}}
		}},
		{"lease and grant are not rechecked", "written after the lease expired", func(s *Server) { s.order.attempt[2] = uncheckedDispatch{dispatch{s}} }},
		{"record is ignored on a resend", "ran 2 times", func(s *Server) { s.order.prepare[3] = resendingDeduplicate{deduplicate{s}} }},
		{"non-idempotent call is retried", "ran 2 times", func(s *Server) { s.order.prepare[4] = repeatableQuarantine{quarantine{s}} }},
		{"cut stream ends with the terminator", "ends with the terminator", func(s *Server) { s.order.finish[0] = terminatingRelay{relay{s}} }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			require.ErrorContains(t, runRandomWalks(tc.mutate, 50, 60), tc.want)
		})
	}
}

// TestLongWalks runs more steps per case than rapid does. The number of walks
// is that of rapid's checks.
func TestLongWalks(t *testing.T) {
	runs, err := strconv.Atoi(flag.Lookup("rapid.checks").Value.String())
	require.NoError(t, err)
	require.NoError(t, runRandomWalks(nil, runs, 60))
}
