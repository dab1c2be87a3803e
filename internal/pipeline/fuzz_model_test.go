package pipeline

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
)

// pick returns a number from 0 to n-1.
type pick func(n int) int

// behaviour is what a backend server does with one request.
type behaviour int

const (
	behaveWell behaviour = iota
	// behaveRefuse refuses the connection.
	behaveRefuse
	// behaveCrash accepts the request and crashes.
	behaveCrash
	// behaveBreak accepts the request and breaks the connection.
	behaveBreak
	// behaveSwap answers with the id of another request, which the client detects.
	behaveSwap
	// behaveLate exceeds the deadline.
	behaveLate
	// behaveFail answers 500.
	behaveFail
	// behaveTruncate ends a stream without its terminator.
	behaveTruncate
	// behaveRepeat sends a token twice.
	behaveRepeat
	// behaveDisorder sends an old token again later.
	behaveDisorder
	behaviours
)

// streamTokens is the number of tokens of a complete answer.
const streamTokens = 5

// pathModel models two entries that share control and backend servers, and
// records what ran.
type pathModel struct {
	entries []*harness
	control *fakeControl
	pick    pick
	// ran counts the dispatches that reached a backend server, by request and
	// by idempotency key.
	ran      map[api.RequestID]int
	ranByKey map[string]int
	// stopped holds the entries whose lease expired during the current call.
	stopped map[*harness]bool
	// late holds ends of records that control has not stored.
	late []api.Record
	dead bool
	err  error
}

func newPathModel(p pick, mutate func(*Server)) *pathModel {
	m := &pathModel{
		control: newFakeControl(), pick: p,
		ran: map[api.RequestID]int{}, ranByKey: map[string]int{}, stopped: map[*harness]bool{},
	}
	for range 2 {
		h := newHarness(Settings{RequestTimeout: time.Minute, RetryBurst: 1000, SuspectWait: time.Millisecond})
		h.server.cfg.Control = m.control
		h.server.cfg.Backends = &pathBackend{m: m, entry: h}
		h.control = m.control
		h.server.retryEnd = func(r api.Record) { m.late = append(m.late, r) }
		if mutate != nil {
			mutate(h.server)
		}
		m.entries = append(m.entries, h)
	}
	return m
}

func (m *pathModel) fail(format string, args ...any) {
	if m.err == nil {
		m.err = errors.Newf(format, args...)
	}
}

// pathBackend simulates all engines and services for one entry.
type pathBackend struct {
	m     *pathModel
	entry *harness
}

func (b *pathBackend) Cancel(context.Context, string, api.RequestID) error {
	switch {
	case b.m.dead:
		b.m.dead = false
		return errRefused
	case b.m.pick(6) == 0:
		return errBroken
	}
	return nil
}

func (b *pathBackend) Do(_ context.Context, r backend.Request) (*backend.Response, error) {
	what := behaveWell
	if b.m.pick(3) > 0 {
		what = behaviour(b.m.pick(int(behaviours)))
	}
	if what == behaveRefuse {
		return nil, errors.Mark(errors.New("connection refused"), backend.ErrNotSent)
	}
	if err := beforeWrite(r); err != nil {
		return nil, err
	}
	if b.m.stopped[b.entry] {
		b.m.fail("request %s was written after the lease expired", r.ID)
	}
	b.m.ran[r.ID]++
	if r.Fencing == 0 {
		return b.service(r, what)
	}
	return b.engine(r, what)
}

func (b *pathBackend) service(r backend.Request, what behaviour) (*backend.Response, error) {
	if r.Method == fasthttp.MethodPost {
		b.m.ranByKey[string(r.Body)]++
		if n := b.m.ranByKey[string(r.Body)]; n > 1 {
			b.m.fail("call %s ran %d times", r.Body, n)
		}
	}
	switch what {
	case behaveCrash, behaveBreak, behaveTruncate:
		return nil, errBroken
	case behaveSwap, behaveLate, behaveDisorder:
		return nil, context.DeadlineExceeded
	case behaveFail:
		return &backend.Response{Status: 500, ContentType: "text/plain", Body: r.Body}, nil
	}
	return &backend.Response{Status: 200, ContentType: "text/plain", Body: r.Body}, nil
}

func (b *pathBackend) engine(r backend.Request, what behaviour) (*backend.Response, error) {
	switch what {
	case behaveCrash:
		b.m.dead = true
		return nil, errBroken
	case behaveBreak, behaveSwap:
		return nil, errBroken
	case behaveLate:
		return nil, context.DeadlineExceeded
	case behaveFail:
		return &backend.Response{Status: 500, ContentType: "text/plain", Body: []byte("500")}, nil
	}
	if !strings.Contains(string(r.Body), `"stream":true`) {
		return &backend.Response{Status: 200, ContentType: "text/plain", Body: []byte(wholeText(r.Body))}, nil
	}
	return streamOf(&fakeStream{events: b.events(r, what), err: b.end(what)}), nil
}

func (b *pathBackend) end(what behaviour) error {
	if what == behaveTruncate {
		return io.ErrUnexpectedEOF
	}
	return nil
}

// events returns the rest of the answer after the offset, changed by the
// behaviour.
func (b *pathBackend) events(r backend.Request, what behaviour) []backend.Event {
	var events []backend.Event
	for i := r.Offset + 1; i <= streamTokens; i++ {
		events = append(events, backend.Event{Offset: i, Data: []byte(tokenText(r.Body, i))})
	}
	if len(events) == 0 {
		return events
	}
	at := b.m.pick(len(events))
	switch what {
	case behaveTruncate:
		return events[:at]
	case behaveRepeat:
		return append(events[:at:at], append([]backend.Event{events[at]}, events[at:]...)...)
	case behaveDisorder:
		return append(events[:len(events):len(events)], events[at])
	}
	return events
}

// tokenText is the token of a request at an offset.
func tokenText(body []byte, i int) string { return fmt.Sprintf("%x.%d", len(body), i) }

func wholeText(body []byte) string {
	var b strings.Builder
	for i := 1; i <= streamTokens; i++ {
		b.WriteString("data: " + tokenText(body, i) + "\n\n")
	}
	return b.String()
}

// call sends one request through an entry and checks its answer.
func (m *pathModel) call(h *harness, method, path, key, body string) answer {
	a := h.serveLocal(method, path, key, body)
	m.checkAnswer(h, a)
	return a
}

// serveLocal serves one request without a network, as the HTTP server does.
func (h *harness) serveLocal(method, path, key, body string) answer {
	var req fasthttp.Request
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.Set("Authorization", "Bearer "+testKey)
	if key != "" {
		req.Header.Set(api.HeaderIdempotencyKey, key)
	}
	req.SetBodyString(body)
	var ctx fasthttp.RequestCtx
	ctx.Init2(nopConn{}, nil, false)
	req.CopyTo(&ctx.Request)
	h.server.Handler()(&ctx)
	a := answer{status: ctx.Response.StatusCode()}
	if stream := ctx.Response.BodyStream(); stream != nil {
		data, err := io.ReadAll(stream)
		a.body, a.err = string(data), err
		_ = ctx.Response.CloseBodyStream()
	} else {
		a.body = string(ctx.Response.Body())
	}
	a.header = map[string][]string{
		api.HeaderOutcome: {string(ctx.Response.Header.Peek(api.HeaderOutcome))},
		api.HeaderRequest: {string(ctx.Response.Header.Peek(api.HeaderRequest))},
	}
	return a
}

// nopConn is a connection without a caller.
type nopConn struct{ net.Conn }

func (nopConn) SetWriteDeadline(time.Time) error { return nil }
func (nopConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (nopConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }

// checkAnswer compares the reported outcome with the runs of the request.
func (m *pathModel) checkAnswer(h *harness, a answer) {
	id := api.RequestID(a.header.Get(api.HeaderRequest))
	switch a.outcome() {
	case api.OutcomeNotRun:
		if n := m.ran[id]; n > 0 {
			m.fail("request %s is reported not-run but ran %d times", id, n)
		}
	case api.OutcomeComplete, api.OutcomeUnknown:
	default:
		m.fail("request %s has outcome %q", id, a.outcome())
	}
	if n := h.grants.outstanding(); n > 0 {
		m.fail("%d grants are still held after request %s", n, id)
	}
	for _, s := range m.entries {
		s.state.SetLease(time.Now().Add(time.Hour))
	}
	clear(m.stopped)
}
