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
	// behaveCrash takes the request and dies.
	behaveCrash
	// behaveBreak takes the request and breaks the connection.
	behaveBreak
	// behaveSwap answers with another request's id, which the client detects.
	behaveSwap
	// behaveLate answers too late.
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

// streamTokens is the length of a whole answer.
const streamTokens = 5

// pathWorld is a model of two entries that share control and backend servers,
// with the oracle that knows what ran.
type pathWorld struct {
	entries []*harness
	control *fakeControl
	pick    pick
	// ran counts the dispatches that reached a backend server, by request and
	// by idempotency key.
	ran      map[api.RequestID]int
	ranByKey map[string]int
	// stopped holds the entries whose lease ran out during the present call.
	stopped map[*harness]bool
	// late holds ends of records that control did not take yet.
	late []api.Record
	dead bool
	err  error
}

func newPathWorld(p pick, mutate func(*Server)) *pathWorld {
	w := &pathWorld{
		control: newFakeControl(), pick: p,
		ran: map[api.RequestID]int{}, ranByKey: map[string]int{}, stopped: map[*harness]bool{},
	}
	for range 2 {
		h := newHarness(Settings{RequestTimeout: time.Minute, RetryBurst: 1000, SuspectWait: time.Millisecond})
		h.server.cfg.Control = w.control
		h.server.cfg.Backends = &pathBackend{w: w, entry: h}
		h.control = w.control
		h.server.retryEnd = func(r api.Record) { w.late = append(w.late, r) }
		if mutate != nil {
			mutate(h.server)
		}
		w.entries = append(w.entries, h)
	}
	return w
}

func (w *pathWorld) fail(format string, args ...any) {
	if w.err == nil {
		w.err = errors.Newf(format, args...)
	}
}

// pathBackend plays all engines and services towards one entry.
type pathBackend struct {
	w     *pathWorld
	entry *harness
}

func (b *pathBackend) Cancel(context.Context, string, api.RequestID) error {
	switch {
	case b.w.dead:
		b.w.dead = false
		return errRefused
	case b.w.pick(6) == 0:
		return errBroken
	}
	return nil
}

func (b *pathBackend) Do(_ context.Context, r backend.Request) (*backend.Response, error) {
	what := behaveWell
	if b.w.pick(3) > 0 {
		what = behaviour(b.w.pick(int(behaviours)))
	}
	if what == behaveRefuse {
		return nil, errors.Mark(errors.New("connection refused"), backend.ErrNotSent)
	}
	if err := beforeWrite(r); err != nil {
		return nil, err
	}
	if b.w.stopped[b.entry] {
		b.w.fail("request %s was written after the lease ran out", r.ID)
	}
	b.w.ran[r.ID]++
	if r.Fencing == 0 {
		return b.service(r, what)
	}
	return b.engine(r, what)
}

func (b *pathBackend) service(r backend.Request, what behaviour) (*backend.Response, error) {
	if r.Method == fasthttp.MethodPost {
		b.w.ranByKey[string(r.Body)]++
		if n := b.w.ranByKey[string(r.Body)]; n > 1 {
			b.w.fail("call %s ran %d times", r.Body, n)
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
		b.w.dead = true
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

// events returns the rest of the answer after the offset, as the engine
// misbehaves.
func (b *pathBackend) events(r backend.Request, what behaviour) []backend.Event {
	var events []backend.Event
	for i := r.Offset + 1; i <= streamTokens; i++ {
		events = append(events, backend.Event{Offset: i, Data: []byte(tokenText(r.Body, i))})
	}
	if len(events) == 0 {
		return events
	}
	at := b.w.pick(len(events))
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

// call passes one request through an entry and checks what it is told.
func (w *pathWorld) call(h *harness, method, path, key, body string) answer {
	a := h.pass(method, path, key, body)
	w.checkAnswer(h, a)
	return a
}

// pass takes one request through the path without a network, as the HTTP server
// does.
func (h *harness) pass(method, path, key, body string) answer {
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

// nopConn is the connection of a caller that is not there.
type nopConn struct{ net.Conn }

func (nopConn) SetWriteDeadline(time.Time) error { return nil }
func (nopConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (nopConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }

// checkAnswer compares what every caller is told with what ran.
func (w *pathWorld) checkAnswer(h *harness, a answer) {
	id := api.RequestID(a.header.Get(api.HeaderRequest))
	switch a.outcome() {
	case api.OutcomeNotRun:
		if n := w.ran[id]; n > 0 {
			w.fail("request %s is told not-run and ran %d times", id, n)
		}
	case api.OutcomeComplete, api.OutcomeUnknown:
	default:
		w.fail("request %s has outcome %q", id, a.outcome())
	}
	if n := h.grants.outstanding(); n > 0 {
		w.fail("%d grants are held after request %s", n, id)
	}
	for _, s := range w.entries {
		s.state.SetLease(time.Now().Add(time.Hour))
	}
	clear(w.stopped)
}
