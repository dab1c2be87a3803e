package ingress

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/backend"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/entry"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/logging"
	"github.com/crocusway/crocusway/internal/routing"
	"github.com/crocusway/crocusway/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m) }

const waitFor = 10 * time.Second

// testDialect uses the header names of the tests.
type testDialect struct{}

func (testDialect) DecodeRequest(h *fasthttp.RequestHeader) Head {
	ms, _ := strconv.Atoi(string(h.Peek("Deadline")))
	prompt, _ := strconv.Atoi(string(h.Peek("Prompt")))
	return Head{
		ID: string(h.Peek("Id")), Key: string(h.Peek("Key")), Model: string(h.Peek("Model")),
		Deadline: time.Duration(ms) * time.Millisecond, PromptTokens: prompt, LastEvent: string(h.Peek("Last-Event-Id")),
		PromptParts: strings.Fields(string(h.Peek("Parts"))),
	}
}

func (testDialect) AppendRequest(dst []byte, h *fasthttp.RequestHeader, out Outgoing) []byte {
	last := string(h.Peek("Last-Event-Id"))
	if out.LastEvent != "" {
		last = out.LastEvent
	}
	dst = fmt.Appendf(dst, "Id: %s\r\nParts: %s\r\nDeadline: %d\r\nInstance: %s\r\nAccount: %s\r\nLast-Event-Id: %s\r\n",
		h.Peek("Id"), h.Peek("Parts"), out.Deadline.Milliseconds(), out.Instance, out.Account, last)
	dst = fmt.Appendf(dst, "Model: %s\r\nPrompt: %s\r\n", h.Peek("Model"), h.Peek("Prompt"))
	if out.BodyBytes >= 0 {
		dst = fmt.Appendf(dst, "Content-Length: %d\r\n", out.BodyBytes)
	}
	return dst
}

func (testDialect) DecodeAnswer(h *fasthttp.ResponseHeader) Answer {
	if len(h.Peek("Panic")) > 0 {
		panic("the dialect fails")
	}
	pause, _ := strconv.Atoi(string(h.Peek("Pause")))
	return Answer{
		Leaving: len(h.Peek("Leaving")) > 0, Pause: time.Duration(pause) * time.Millisecond,
		RequestID: string(h.Peek("Id")), Refused: len(h.Peek("Refused")) > 0,
		OtherInstance: h.StatusCode() == fasthttp.StatusMisdirectedRequest, Sealed: len(h.Peek("Seal")) > 0,
	}
}

func (testDialect) CopyAnswer(to, from *fasthttp.ResponseHeader) {
	to.SetBytesV("Seal", from.Peek("Seal"))
	to.SetBytesV("Id", from.Peek("Id"))
	if leaving := from.Peek("Leaving"); len(leaving) > 0 {
		to.SetBytesV("Leaving", leaving)
	}
	to.SetContentTypeBytes(from.ContentType())
}

func (testDialect) SetRefusal(h *fasthttp.ResponseHeader, id string) { h.Set("Id", id) }

// fakeServer is a backend server whose answers a test writes byte by byte.
type fakeServer struct {
	name     string
	ln       net.Listener
	answer   func(r *received)
	arrived  atomic.Int64
	mu       sync.Mutex
	requests []*received
}

// received is one request at a fake server.
type received struct {
	*fakeServer
	header fasthttp.RequestHeader
	body   string
	conn   net.Conn
	// gone is closed once the entry has closed the connection.
	gone chan struct{}
}

// hasPart reports whether a part is in the prompt of a request.
func hasPart(r *received, part string) bool {
	return slices.Contains(strings.Fields(string(r.header.Peek("Parts"))), part)
}

func (r *received) write(format string, args ...any) {
	_, _ = fmt.Fprintf(r.conn, format, args...)
}

// ok answers with a sealed body.
func (r *received) ok(body string) {
	r.write("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: %s\r\nContent-Length: %d\r\n\r\n%s", r.header.Peek("Id"), r.name, len(body), body)
}

func (r *received) status(code int, extra string) {
	r.write("HTTP/1.1 %d X\r\nId: %s\r\n%sContent-Length: 0\r\n\r\n", code, r.header.Peek("Id"), extra)
}

// beginStream sends the head of a stream.
func (r *received) beginStream() {
	r.write("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: %s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		r.header.Peek("Id"), r.name)
}

func (r *received) chunk(text string) { r.write("%x\r\n%s\r\n", len(text), text) }

// events sends the events after the caller's last one, up to a number.
func (r *received) events(to int) {
	last, _ := strconv.Atoi(string(r.header.Peek("Last-Event-Id")))
	for i := last + 1; i <= to; i++ {
		r.chunk(event(i))
	}
}

func (r *received) endStream() { r.write("0\r\n\r\n") }

func event(i int) string { return fmt.Sprintf("id: %d\ndata: word %d\n\n", i, i) }

func newFakeServer(t *testing.T, name string, answer func(r *received)) *fakeServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fakeServer{name: name, ln: ln, answer: answer}
	var conns sync.WaitGroup
	conns.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			conns.Go(func() { s.serve(c) })
		}
	})
	t.Cleanup(func() { _ = ln.Close() })
	return s
}

func (s *fakeServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if err := req.Read(reader); err != nil {
			return
		}
		r := &received{fakeServer: s, body: string(req.Body()), conn: c, gone: make(chan struct{})}
		req.Header.CopyTo(&r.header)
		s.mu.Lock()
		s.requests = append(s.requests, r)
		s.mu.Unlock()
		s.arrived.Add(1)
		finished := make(chan struct{})
		go func() {
			s.answer(r)
			close(finished)
		}()
		// The entry sends nothing before it has the answer: a byte here belongs to the
		// next request, an error means that the entry closed the connection.
		_, err := reader.Peek(1)
		if err != nil {
			close(r.gone)
		}
		<-finished
		if err != nil {
			return
		}
	}
}

// hang sends nothing until the entry closes the connection.
func hang(r *received) { <-r.gone }

// harness is an entry with its backend servers.
type harness struct {
	t      testing.TB
	server *Server
	state  *entry.State
	ln     net.Listener
	view   api.View
	logs   *lockedBuffer
}

// lockedBuffer collects the log output.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// noControl accepts every call; the request path needs no result from control.
type noControl struct{}

func (noControl) Call(context.Context, api.Method, any, any) error { return nil }

// noPeers drops load reports and fails calls.
type noPeers struct{}

func (noPeers) Notify(string, api.Method, any) error { return nil }

func (noPeers) Call(context.Context, string, api.Method, any, any) error { return errNoPeers }

var errNoPeers = errs.New(errs.Unavailable, "call", "", "no peers")

var testForwardSecret = []byte("a secret of the entries")

const (
	testHost  = "api.example"
	testModel = "m"
	testKey   = "secret"
)

func publication() *api.Publication {
	split := func(name string) []api.RouteShare { return []api.RouteShare{{Service: name, Weight: 1}} }
	return &api.Publication{
		Version: 1,
		Routes: []api.Route{
			{Name: "read", Host: testHost, PathPrefix: "/read/", Kind: api.CallIdempotent, TimeoutMillis: 2000, MaxAttempts: 2, Split: split("ledger")},
			{Name: "post", Host: testHost, PathPrefix: "/post/", Kind: api.CallOnce, TimeoutMillis: 2000, MaxAttempts: 2, Split: split("ledger")},
			{Name: "open", Host: testHost, PathPrefix: "/open/", Kind: api.CallIdempotent, TimeoutMillis: 400, MaxAttempts: 1, Public: true, Split: split("ledger")},
			{
				Name: "draft", Host: testHost, PathPrefix: "/draft/", Kind: api.CallStream, Resumable: true, TimeoutMillis: 5000,
				ObjectiveMillis: 300, GapObjectiveMillis: 200, MaxAttempts: 2, Split: split("scribe"),
			},
			{
				Name: "once", Host: testHost, PathPrefix: "/once/", Kind: api.CallStream, TimeoutMillis: 5000,
				ObjectiveMillis: 300, GapObjectiveMillis: 200, MaxAttempts: 2, Split: split("scribe"),
			},
		},
		Services: []api.PublishedService{
			{Name: "ledger"},
			{Name: "scribe", Engine: &api.EngineProfile{
				Slots: 8, Stride: 7, StepMillis: 6, PrefillRate: 50_000, Chunk: 2048,
				Models: []api.EngineModel{{Name: testModel, Hosts: 1, Share: 1}},
			}},
		},
		Accounts: []api.PublishedAccount{{ID: "shop", KeyHashes: []string{routing.HashKey(testKey)}}},
	}
}

func newHarness(t testing.TB) *harness {
	t.Helper()
	return newEntry(t, api.EntryInfo{ID: "e1", Incarnation: 1, Domain: "cairo"}, backend.Config{DialTimeout: time.Second})
}

// newEntry returns an entry without backend servers.
func newEntry(t testing.TB, info api.EntryInfo, cfg backend.Config) *harness {
	t.Helper()
	forwarder := backend.NewForwarder(cfg)
	t.Cleanup(forwarder.Close)
	h := &harness{t: t, state: entry.NewState(info, clock.System{}), logs: &lockedBuffer{}}
	h.server = New(Config{
		Self: info, State: h.state, Control: noControl{}, Peers: noPeers{}, Backends: forwarder, Dialect: testDialect{},
		Logger: logging.New(h.logs, "debug"),
		Settings: Settings{
			RetryRatio: 0.2, RetryAllowance: 100, RetryWindow: 10 * time.Second,
			MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, IdleTimeout: time.Minute,
		},
		ForwardSecret: testForwardSecret,
	})
	h.listen(func(ln net.Listener) net.Listener { return ln })
	h.view = api.View{Revision: 1, Publication: packed(t, publication())}
	return h
}

// listen serves callers on a new listener.
func (h *harness) listen(wrap func(net.Listener) net.Listener) {
	h.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(h.t, err)
	wrapped := wrap(ln)
	h.ln = wrapped
	front := h.server.HTTP()
	go func() { _ = front.Serve(wrapped) }()
	h.t.Cleanup(func() { _ = ln.Close() })
}

func packed(t testing.TB, p *api.Publication) *api.PackedPublication {
	t.Helper()
	out, err := routing.Pack(p)
	require.NoError(t, err)
	return &out
}

// ledger adds servers to the plain service.
func (h *harness) ledger(servers ...*fakeServer) {
	for _, s := range servers {
		h.view.Servers = append(h.view.Servers, api.ServiceServer{
			Host: api.HostID(s.name), Service: "ledger", Domain: "cairo", Address: s.ln.Addr().String(), Incarnation: 1, Warm: true, Slots: 4,
		})
	}
	h.apply()
}

// scribe adds replicas to the engine service.
func (h *harness) scribe(servers ...*fakeServer) {
	for _, s := range servers {
		h.view.Groups = append(h.view.Groups, api.Group{
			ID: api.GroupID("g-" + s.name), ServingGroup: api.EngineGroupName("scribe", testModel), Service: "scribe", Model: testModel,
			Domain: "cairo", Members: []api.HostID{api.HostID(s.name)}, Fencing: 1, Phase: api.GroupReady, Open: true, Warm: true,
			Address: s.ln.Addr().String(), HeadIncarnation: 1,
		})
	}
	h.apply()
}

func (h *harness) apply() {
	h.view.Revision++
	h.state.Apply(h.view)
	h.server.Apply(h.state.Snapshot())
}

// answer is a response whose body is closed at the end of the test.
type answer struct {
	StatusCode int
	Header     http.Header
	Body       io.Reader
	// Close is set if the entry closes the connection.
	Close bool
}

// send makes one request on a connection of its own.
func (h *harness) send(method, path, body string, header ...string) answer {
	h.t.Helper()
	req, err := http.NewRequestWithContext(h.t.Context(), method, "http://"+h.ln.Addr().String()+path, strings.NewReader(body))
	require.NoError(h.t, err)
	req.Host = testHost
	req.Header.Set("Id", fmt.Sprintf("r%d", requestNumber.Add(1)))
	req.Header.Set("Key", testKey)
	req.Header.Set("Model", testModel)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitFor}
	res, err := client.Do(req)
	require.NoError(h.t, err)
	h.t.Cleanup(func() { _ = res.Body.Close() })
	return answer{StatusCode: res.StatusCode, Header: res.Header, Body: res.Body, Close: res.Close}
}

var requestNumber atomic.Int64

// text reads a body and reports whether it was complete.
func text(res answer) (string, bool) { return textOf(res.Body) }

func textOf(r io.Reader) (string, bool) {
	body, err := io.ReadAll(r)
	return string(body), err == nil
}

// newEntryAt returns an entry that takes requests that other entries forward, and puts its
// address into info.
func newEntryAt(t *testing.T, info *api.EntryInfo, cfg backend.Config) *harness {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	info.ForwardAddress = ln.Addr().String()
	h := newEntry(t, *info, cfg)
	go func() { _ = h.server.ForwardedHTTP().Serve(ln) }()
	return h
}
