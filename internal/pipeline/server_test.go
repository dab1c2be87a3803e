package pipeline

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/shard"
)

// answer is what a caller received.
type answer struct {
	status  int
	header  http.Header
	trailer http.Header
	body    string
	// closed is set when the server closes the connection after the answer.
	closed bool
	err    error
}

// outcome returns the outcome in the header, or in the trailer of a stream.
func (a answer) outcome() api.Outcome {
	if o := a.header.Get(api.HeaderOutcome); o != "" {
		return api.Outcome(o)
	}
	return api.Outcome(a.trailer.Get(api.HeaderOutcome))
}

// listen serves the harness in memory and returns a client for it.
func (h *harness) listen(t *testing.T) *http.Client {
	t.Helper()
	ln := fasthttputil.NewInmemoryListener()
	srv := h.server.HTTP()
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ln) }()
	t.Cleanup(func() {
		_ = ln.Close()
		require.NoError(t, <-done)
	})
	dial := func(context.Context, string, string) (net.Conn, error) { return ln.Dial() }
	return &http.Client{Transport: &http.Transport{DialContext: dial, DisableKeepAlives: true}}
}

func send(t *testing.T, c *http.Client, method, path, key, body string, headers ...string) answer {
	t.Helper()
	req, err := http.NewRequest(method, "http://entry"+path, strings.NewReader(body))
	require.NoError(t, err)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := c.Do(req)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, header: res.Header, trailer: res.Trailer, body: string(data), closed: res.Close, err: err}
}

const chatBody = `{"model":"scribe-1","stream":true,"messages":[{"role":"user","content":"a tin"}]}`

func streamOf(s backend.Stream) *backend.Response {
	return &backend.Response{Status: 200, ContentType: sseContentType, Stream: s}
}

func TestStreamedChat(t *testing.T) {
	h := newHarness(Settings{})
	h.backends.do = func(context.Context, backend.Request) (*backend.Response, error) {
		return streamOf(&fakeStream{events: tokens(0, 3)}), nil
	}
	a := send(t, h.listen(t), "POST", "/v1/chat/completions", testKey, chatBody)
	require.Equal(t, 200, a.status)
	require.Equal(t, "data: {\"token\":1}\n\ndata: {\"token\":2}\n\ndata: {\"token\":3}\n\n: Crocusway-Outcome complete\n\ndata: [DONE]\n\n", a.body)
	require.Equal(t, api.OutcomeComplete, a.outcome())
	require.NotEmpty(t, a.header.Get(api.HeaderRequest))
	h.server.Wait()
	require.Zero(t, h.grants.outstanding())
}

func TestBrokenStreamResumesAtTheOffset(t *testing.T) {
	h := newHarness(Settings{})
	h.backends.do = func(_ context.Context, r backend.Request) (*backend.Response, error) {
		if r.Offset == 0 {
			return streamOf(&fakeStream{events: tokens(0, 2), err: io.ErrUnexpectedEOF}), nil
		}
		return streamOf(&fakeStream{events: tokens(r.Offset, 4)}), nil
	}
	a := send(t, h.listen(t), "POST", "/v1/chat/completions", testKey, chatBody)
	require.Equal(t, "data: {\"token\":1}\n\ndata: {\"token\":2}\n\ndata: {\"token\":3}\n\ndata: {\"token\":4}\n\n: Crocusway-Outcome complete\n\ndata: [DONE]\n\n", a.body)
	h.server.Wait()
	require.Len(t, h.backends.cancelled, 1)
	require.Zero(t, h.grants.outstanding())
	for _, r := range h.backends.runs {
		require.Equal(t, chatBody, string(r.Body))
	}
}

func TestCutStreamEndsWithAnErrorEvent(t *testing.T) {
	h := newHarness(Settings{MaxAttempts: 1})
	h.backends.do = func(context.Context, backend.Request) (*backend.Response, error) {
		return streamOf(&fakeStream{events: tokens(0, 2), err: io.ErrUnexpectedEOF}), nil
	}
	a := send(t, h.listen(t), "POST", "/v1/chat/completions", testKey, chatBody)
	require.NoError(t, checkCut(a.body))
	require.Equal(t, api.OutcomeUnknown, a.outcome())
}

func TestServiceCallRunsOnceAndItsResendGetsTheAnswer(t *testing.T) {
	h := newHarness(Settings{})
	h.backends.do = func(context.Context, backend.Request) (*backend.Response, error) {
		return &backend.Response{Status: 201, ContentType: "application/json", Body: []byte(`{"deposit":1}`)}, nil
	}
	c := h.listen(t)
	first := send(t, c, "POST", "/services/ledger/deposits?x=1", testKey, `{"amount":5}`, api.HeaderIdempotencyKey, "k1")
	again := send(t, c, "POST", "/services/ledger/deposits?x=1", testKey, `{"amount":5}`, api.HeaderIdempotencyKey, "k1")
	require.Equal(t, 201, first.status)
	require.Equal(t, `{"deposit":1}`, first.body)
	require.Equal(t, first.status, again.status)
	require.Equal(t, first.body, again.body)
	require.Equal(t, api.OutcomeComplete, again.outcome())
	require.Equal(t, first.header.Get(api.HeaderRequest), again.header.Get(api.HeaderRequest))
	require.Equal(t, 1, h.backends.runCount())
	require.Equal(t, "/deposits?x=1", h.backends.runs[0].Path)
	other := send(t, c, "POST", "/services/ledger/deposits?x=1", testKey, `{"amount":6}`, api.HeaderIdempotencyKey, "k1")
	require.Equal(t, 422, other.status)
	require.Equal(t, api.OutcomeNotRun, other.outcome())
}

func TestLostAnswerOfANonIdempotentCallIsUnknown(t *testing.T) {
	h := newHarness(Settings{})
	h.backends.do = func(context.Context, backend.Request) (*backend.Response, error) { return nil, errBroken }
	c := h.listen(t)
	first := send(t, c, "POST", "/services/ledger/deposits", testKey, `{}`, api.HeaderIdempotencyKey, "k1")
	again := send(t, c, "POST", "/services/ledger/deposits", testKey, `{}`, api.HeaderIdempotencyKey, "k1")
	require.Equal(t, 502, first.status)
	require.Equal(t, api.OutcomeUnknown, first.outcome())
	require.Equal(t, 409, again.status)
	require.Equal(t, api.OutcomeUnknown, again.outcome())
	require.Equal(t, 1, h.backends.runCount())
}

func TestUnsentCallIsNotRunAndReleasesItsKey(t *testing.T) {
	h := newHarness(Settings{})
	h.backends.do = func(context.Context, backend.Request) (*backend.Response, error) { return nil, backend.ErrNotSent }
	a := send(t, h.listen(t), "POST", "/services/ledger/deposits", testKey, `{}`, api.HeaderIdempotencyKey, "k1")
	require.Equal(t, 503, a.status)
	require.Equal(t, api.OutcomeNotRun, a.outcome())
	_, found := h.control.record("k1")
	require.False(t, found)
	require.Equal(t, 2, h.backends.runCount(), "each server is tried once")
}

func TestDisconnectedCallerCancelsOnTheEngine(t *testing.T) {
	h := newHarness(Settings{})
	release := make(chan struct{})
	h.backends.do = func(context.Context, backend.Request) (*backend.Response, error) {
		return streamOf(&slowStream{release: release}), nil
	}
	c := h.listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", "http://entry/v1/chat/completions", strings.NewReader(chatBody))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	res, err := c.Do(req)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	cancel()
	close(release)
	h.server.Wait()
	require.Len(t, h.backends.cancelled, 1)
	require.Zero(t, h.grants.outstanding())
}

// slowStream yields one token, and endless tokens once released.
type slowStream struct {
	release chan struct{}
	n       int
}

func (s *slowStream) Next() (backend.Event, error) {
	if s.n > 0 {
		<-s.release
	}
	s.n++
	return backend.Event{Offset: s.n, Data: []byte(strings.Repeat("x", 4096))}, nil
}

func (s *slowStream) Close() error { return nil }

func TestDrainedDomainRefersCallersToOtherEntries(t *testing.T) {
	h := newHarness(Settings{})
	v := testView()
	v.Revision = 3
	v.Domains[0].State = api.DomainDrained
	h.state.Apply(v)
	c := h.listen(t)
	a := send(t, c, "POST", "/v1/chat/completions", testKey, chatBody)
	require.Equal(t, 503, a.status)
	require.Equal(t, api.OutcomeNotRun, a.outcome())
	require.Contains(t, a.body, "10.0.0.2:80")
	require.NotContains(t, a.body, "10.0.0.1:80")
	require.True(t, a.closed)
	list := send(t, c, "GET", "/v1/entries", "", "")
	require.Equal(t, `{"entries":[{"address":"10.0.0.2:80","domain":"west"}],"ttl_seconds":5}`, list.body)
}

func TestCrashingRequestRunsAloneAndIsThenQuarantined(t *testing.T) {
	h := newHarness(Settings{})
	h.backends.cancelErr = errRefused
	h.backends.do = func(context.Context, backend.Request) (*backend.Response, error) { return nil, errBroken }
	a := send(t, h.listen(t), "POST", "/v1/chat/completions", testKey, chatBody)
	require.Equal(t, 422, a.status)
	require.Equal(t, api.OutcomeUnknown, a.outcome())
	require.Equal(t, []bool{false, true}, h.grants.alone)
	require.Equal(t, 2, h.control.suspects)
	require.Zero(t, h.grants.outstanding())
}

func TestGrantAndLeaseAreRecheckedBeforeTheWrite(t *testing.T) {
	h := newHarness(Settings{})
	h.grants.invalid = true
	a := send(t, h.listen(t), "POST", "/v1/chat/completions", testKey, chatBody)
	require.Equal(t, 503, a.status)
	require.Equal(t, api.OutcomeNotRun, a.outcome())
	require.Zero(t, h.backends.runCount())
	h.grants.invalid = false
	h.state.SetLease(time.Now().Add(-time.Second))
	a = send(t, h.listen(t), "POST", "/v1/chat/completions", testKey, chatBody)
	require.Equal(t, 503, a.status)
	require.Zero(t, h.backends.runCount())
}

// blockingStream yields its events, and then calls onBlock and waits for the end
// of its context.
type blockingStream struct {
	fakeStream
	ctx     context.Context
	onBlock func()
}

func (s *blockingStream) Next() (backend.Event, error) {
	if len(s.events) > 0 {
		return s.fakeStream.Next()
	}
	s.onBlock()
	<-s.ctx.Done()
	return backend.Event{}, s.ctx.Err()
}

func TestRevokedGrantIsCancelledAndResumed(t *testing.T) {
	h := newHarness(Settings{MaxAttempts: 1})
	h.backends.do = func(ctx context.Context, r backend.Request) (*backend.Response, error) {
		if r.Offset > 0 {
			return streamOf(&fakeStream{events: tokens(r.Offset, 4)}), nil
		}
		s := &blockingStream{fakeStream: fakeStream{events: tokens(0, 2)}, ctx: ctx}
		s.onBlock = func() {
			for id := range h.grants.held {
				h.grants.revoke(id)
			}
		}
		return streamOf(s), nil
	}
	a := send(t, h.listen(t), "POST", "/v1/chat/completions", testKey, chatBody)
	require.Equal(t, api.OutcomeComplete, a.outcome(), a.body)
	require.Equal(t, 4, strings.Count(a.body, "token"))
	require.True(t, strings.HasSuffix(a.body, "data: [DONE]\n\n"))
	h.server.Wait()
	require.Len(t, h.backends.cancelled, 1)
	require.Equal(t, []bool{false, true}, []bool{h.grants.requests[0].Resumed, h.grants.requests[1].Resumed})
	require.True(t, h.grants.requests[0].Revocable)
	require.False(t, h.grants.settled[0].Failed, "a revocation is not a failure of the replica")
	require.Zero(t, h.grants.outstanding())
}

func TestUnconfirmedCancelLeavesTheGrantToExpire(t *testing.T) {
	h := newHarness(Settings{MaxAttempts: 1})
	h.backends.cancelErr = errBroken
	h.backends.do = func(context.Context, backend.Request) (*backend.Response, error) { return nil, errBroken }
	a := send(t, h.listen(t), "POST", "/v1/chat/completions", testKey, chatBody)
	require.Equal(t, 502, a.status)
	require.Equal(t, 1, h.grants.abandoned)
	require.Empty(t, h.grants.settled)
}

var _ Granter = (*shard.Client)(nil)

func TestEngineFaultIsRetriedOnAnotherReplica(t *testing.T) {
	for _, status := range []int{404, 409, 429, 500, 503} {
		h := newHarness(Settings{})
		h.backends.do = func(_ context.Context, r backend.Request) (*backend.Response, error) {
			if r.Address == "engine1" {
				return &backend.Response{Status: status}, nil
			}
			return streamOf(&fakeStream{events: tokens(0, 1)}), nil
		}
		a := send(t, h.listen(t), "POST", "/v1/chat/completions", testKey, chatBody)
		require.Equal(t, api.OutcomeComplete, a.outcome(), "status %d: %s", status, a.body)
		require.Zero(t, h.control.suspects)
		require.Empty(t, h.backends.cancelled, "an engine that answered has nothing to cancel")
	}
}

// TestCrashIsReportedAfterTheViewShowsIt lets control detect the loss of the
// replica before the entry's cancel call. A released replica is not reported.
func TestCrashIsReportedAfterTheViewShowsIt(t *testing.T) {
	for phase, want := range map[api.GroupPhase]int{api.GroupBroken: 1, api.GroupReleasing: 0} {
		h := newHarness(Settings{MaxAttempts: 1})
		h.backends.cancelErr = errRefused
		h.backends.do = func(context.Context, backend.Request) (*backend.Response, error) {
			v := testView()
			v.Revision++
			v.Groups[0].Phase = phase
			h.state.Apply(v)
			return nil, errBroken
		}
		send(t, h.listen(t), "POST", "/v1/chat/completions", testKey, chatBody)
		require.Equal(t, want, h.control.suspects, phase)
	}
}

func TestUnresponsiveReplicaMakesNoSuspect(t *testing.T) {
	h := newHarness(Settings{MaxAttempts: 2})
	h.backends.cancelErr = errors.Mark(context.DeadlineExceeded, backend.ErrNotSent)
	h.backends.do = func(context.Context, backend.Request) (*backend.Response, error) { return nil, errBroken }
	a := send(t, h.listen(t), "POST", "/v1/chat/completions", testKey, chatBody)
	require.Equal(t, api.OutcomeUnknown, a.outcome())
	require.Zero(t, h.control.suspects)
	require.Equal(t, 2, h.grants.abandoned, "the work may still run on a paused replica")
}

func TestRepeatedRecordOpenStillDispatches(t *testing.T) {
	h := newHarness(Settings{})
	h.backends.do = func(context.Context, backend.Request) (*backend.Response, error) {
		return &backend.Response{Status: 200, Body: []byte("ok")}, nil
	}
	h.server.cfg.Control = repeatingControl{h.control}
	a := send(t, h.listen(t), "POST", "/services/ledger/d", testKey, `{}`, api.HeaderIdempotencyKey, "k")
	require.Equal(t, 200, a.status)
	require.Equal(t, 1, h.backends.runCount())
}

// repeatingControl sends every call twice and returns the second answer.
type repeatingControl struct{ *fakeControl }

func (r repeatingControl) Call(ctx context.Context, method api.Method, params, result any) error {
	_ = r.fakeControl.Call(ctx, method, params, result)
	return r.fakeControl.Call(ctx, method, params, result)
}

func TestRecordEndIsRetried(t *testing.T) {
	h := newHarness(Settings{})
	h.backends.do = func(context.Context, backend.Request) (*backend.Response, error) {
		return &backend.Response{Status: 200, Body: []byte("ok")}, nil
	}
	h.control.set(api.MethodRecordEnd, errBroken)
	a := send(t, h.listen(t), "POST", "/services/ledger/d", testKey, `{}`, api.HeaderIdempotencyKey, "k")
	require.Equal(t, api.OutcomeComplete, a.outcome())
	r, _ := h.control.record("k")
	require.Equal(t, api.RecordRunning, r.State)
	h.control.set(api.MethodRecordEnd, nil)
	require.Eventually(t, func() bool {
		r, _ := h.control.record("k")
		return r.State == api.RecordComplete
	}, 30*time.Second, 10*time.Millisecond)
}

func TestFilterPanicEndsTheCall(t *testing.T) {
	h := newHarness(Settings{})
	h.backends.do = func(context.Context, backend.Request) (*backend.Response, error) { panic("bad engine") }
	a := send(t, h.listen(t), "POST", "/v1/chat/completions", testKey, chatBody)
	require.Equal(t, 500, a.status)
	require.Equal(t, api.OutcomeUnknown, a.outcome())
	h.server.Wait()
	require.Zero(t, h.grants.outstanding())
}

// panickingStream panics after its events.
type panickingStream struct{ fakeStream }

func (s *panickingStream) Next() (backend.Event, error) {
	ev, err := s.fakeStream.Next()
	if err != nil {
		panic("bad stream")
	}
	return ev, nil
}

// TestStreamPanicEndsTheCall panics while the HTTP library reads the body, after
// the handler has returned.
func TestStreamPanicEndsTheCall(t *testing.T) {
	h := newHarness(Settings{})
	h.backends.do = func(context.Context, backend.Request) (*backend.Response, error) {
		return streamOf(&panickingStream{fakeStream{events: tokens(0, 2), err: io.ErrUnexpectedEOF}}), nil
	}
	a := send(t, h.listen(t), "POST", "/v1/chat/completions", testKey, chatBody)
	require.Equal(t, api.OutcomeUnknown, a.outcome())
	require.Contains(t, a.body, "event: error")
	require.NotContains(t, a.body, "[DONE]")
	h.server.Wait()
	require.Zero(t, h.grants.outstanding())
}

func TestRetryBudgetBoundsRepeatedWork(t *testing.T) {
	for _, tc := range []struct {
		name    string
		first   func() (*backend.Response, error)
		retried bool
	}{
		{"nothing was sent", func() (*backend.Response, error) { return nil, backend.ErrNotSent }, true},
		{"stream was cut", func() (*backend.Response, error) {
			return streamOf(&fakeStream{events: tokens(0, 1), err: io.ErrUnexpectedEOF}), nil
		}, true},
		{"work is repeated", func() (*backend.Response, error) { return nil, errBroken }, false},
		{"engine is overloaded", func() (*backend.Response, error) { return &backend.Response{Status: 503}, nil }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(Settings{RetryRatio: 0.1, RetryBurst: 0.5})
			h.backends.do = func(_ context.Context, r backend.Request) (*backend.Response, error) {
				if h.backends.runCount() == 1 {
					return tc.first()
				}
				return streamOf(&fakeStream{events: tokens(r.Offset, 2)}), nil
			}
			a := send(t, h.listen(t), "POST", "/v1/chat/completions", testKey, chatBody)
			require.Equal(t, tc.retried, a.outcome() == api.OutcomeComplete, a.body)
		})
	}
}
