package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"

	"github.com/crocusway/crocusway/internal/api"
)

// behaviour selects how a faulty server responds to one request.
type behaviour int

const (
	respondWhole behaviour = iota
	respondLate
	respondSwapped
	respondTruncated
	closeWithoutResponse
	streamWhole
	streamCut
	streamSwapped
	streamWithoutTerminator
	refuseConnection
	behaviourCount
)

// faultyServer records the requests that it reads and behaves as set in next.
type faultyServer struct {
	ln   net.Listener
	wait sync.WaitGroup

	mu   sync.Mutex
	next behaviour
	seen map[api.RequestID]bool
	// arrived and release delay a late response until its caller has canceled.
	arrived chan struct{}
	release chan struct{}
	conns   []net.Conn
}

func startFaulty() (*faultyServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &faultyServer{ln: ln, seen: make(map[api.RequestID]bool)}
	s.wait.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			s.wait.Go(func() { s.serve(c) })
		}
	})
	return s, nil
}

func (s *faultyServer) close() {
	_ = s.ln.Close()
	s.mu.Lock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
}

func (s *faultyServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if req.Read(r) != nil {
			return
		}
		id := api.RequestID(req.Header.Peek(api.HeaderRequest))
		s.mu.Lock()
		s.seen[id] = true
		b, arrived, release := s.next, s.arrived, s.release
		s.mu.Unlock()
		if b == respondLate {
			close(arrived)
			<-release
		}
		text, open := responseText(b, string(id))
		if _, err := c.Write([]byte(text)); err != nil || !open {
			return
		}
	}
}

// oracleTokens is the number of tokens in a complete stream.
const oracleTokens = 3

// responseText returns what the server writes, and whether it keeps the connection open.
func responseText(b behaviour, id string) (string, bool) {
	switch b {
	case respondSwapped:
		return jsonResponse("other", "response to other"), true
	case respondTruncated:
		text := jsonResponse(id, "response to "+id)
		return text[:len(text)-3], false
	case closeWithoutResponse:
		return "", false
	case streamWhole, streamCut, streamSwapped, streamWithoutTerminator:
		return streamText(b, id), b != streamCut
	default:
		return jsonResponse(id, "response to "+id), true
	}
}

func streamText(b behaviour, id string) string {
	text := streamHead(id)
	for i := 1; i <= oracleTokens; i++ {
		from := id
		if b == streamSwapped && i == 2 {
			from = "other"
		}
		text += chunk(fmt.Sprintf("id: %s/%d\ndata: %s.%d\n\n", from, i, from, i))
		if b == streamCut && i == 2 {
			return text
		}
	}
	if b == streamWithoutTerminator {
		return text + lastChunk
	}
	return text + done + lastChunk
}

// checkClient runs a script against a client and returns the first violation of the
// Client contract: a response must be complete and belong to the request, and
// ErrNotSent is allowed only if the server did not read the request.
func checkClient(client Client, script []behaviour) error {
	s, err := startFaulty()
	if err != nil {
		return err
	}
	defer s.close()
	for i, b := range script {
		if err := s.step(client, b, api.RequestID(fmt.Sprintf("r%d", i))); err != nil {
			return fmt.Errorf("step %d of %v: %w", i, script, err)
		}
	}
	return nil
}

func (s *faultyServer) step(client Client, b behaviour, id api.RequestID) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	arrived, release := make(chan struct{}), make(chan struct{})
	s.mu.Lock()
	s.next, s.arrived, s.release = b, arrived, release
	s.mu.Unlock()
	if b == respondLate {
		go func() {
			<-arrived
			cancel()
		}()
		defer close(release)
	}
	r := Request{
		ID: id, Address: s.ln.Addr().String(), Method: "POST", Path: "/", Fencing: 1,
		Deadline: time.Now().Add(time.Minute),
	}
	if b == refuseConnection {
		r.Address = closedAddress
	}
	response, err := client.Do(ctx, r)
	if err != nil {
		return s.checkError(id, err)
	}
	if response.Stream == nil {
		return checkBody(id, response.Body)
	}
	return checkStream(id, response.Stream)
}

// closedAddress is a port without a listener.
const closedAddress = "127.0.0.1:1"

func (s *faultyServer) checkError(id api.RequestID, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, ErrNotSent) && s.seen[id] {
		return fmt.Errorf("request %s reached the server but was reported as not sent", id)
	}
	return nil
}

func checkBody(id api.RequestID, body []byte) error {
	if want := "response to " + string(id); string(body) != want {
		return fmt.Errorf("request %s got %q", id, body)
	}
	return nil
}

func checkStream(id api.RequestID, stream Stream) error {
	defer func() { _ = stream.Close() }()
	delivered := 0
	for {
		ev, err := stream.Next()
		if errors.Is(err, io.EOF) {
			if delivered != oracleTokens {
				return fmt.Errorf("request %s: stream of %d tokens ended as complete", id, delivered)
			}
			return nil
		}
		if err != nil {
			return nil
		}
		if ev.Done {
			continue
		}
		delivered++
		if want := fmt.Sprintf("%s.%d", id, delivered); string(ev.Data) != want {
			return fmt.Errorf("request %s got token %q, want %q", id, ev.Data, want)
		}
	}
}

func TestClientAgainstFaultyServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		client := NewClient(Config{})
		defer client.Close()
		script := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) behaviour {
			return behaviour(rapid.IntRange(0, int(behaviourCount)-1).Draw(t, "behaviour"))
		}), 1, 8).Draw(t, "script")
		if err := checkClient(client, script); err != nil {
			t.Fatal(err)
		}
	})
}

// faultyClient is a Client on one connection that violates the contract in
// selectable ways.
type faultyClient struct {
	conn net.Conn
	// keepConn keeps the connection open after a canceled call; reportNotSent adds
	// ErrNotSent to every error; acceptUnterminated accepts a stream without its
	// terminator.
	keepConn, reportNotSent, acceptUnterminated bool
}

func (c *faultyClient) Cancel(context.Context, string, api.RequestID) error { return nil }

func (c *faultyClient) Do(ctx context.Context, r Request) (*Response, error) {
	response, err := c.do(ctx, r)
	if err != nil && (!c.keepConn || ctx.Err() == nil) && c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
	if err != nil && c.reportNotSent {
		err = notSent{err}
	}
	return response, err
}

func (c *faultyClient) do(ctx context.Context, r Request) (*Response, error) {
	if c.conn == nil {
		conn, err := net.Dial("tcp", r.Address)
		if err != nil {
			return nil, err
		}
		c.conn = conn
	}
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetReadDeadline(time.Now()) })
	defer stop()
	_ = c.conn.SetReadDeadline(time.Time{})
	var req fasthttp.Request
	req.Header.SetMethod(r.Method)
	req.SetRequestURI(r.Path)
	req.Header.SetHost(r.Address)
	req.Header.Set(api.HeaderRequest, string(r.ID))
	if _, err := req.WriteTo(c.conn); err != nil {
		return nil, err
	}
	var response fasthttp.Response
	if err := response.Read(bufio.NewReader(c.conn)); err != nil {
		return nil, err
	}
	body := response.Body()
	if string(response.Header.ContentType()) != contentEvents {
		return &Response{Body: body}, nil
	}
	return &Response{Stream: &faultyStream{client: c, remaining: body}}, nil
}

// faultyStream ignores event ids, and accepts an unterminated stream if configured.
type faultyStream struct {
	client    *faultyClient
	remaining []byte
	events    *sseReader
}

func (s *faultyStream) Next() (Event, error) {
	if s.events == nil {
		s.events = newSSEReader(bufio.NewReader(&chunkedReader{b: s.remaining, size: len(s.remaining)}), 1<<20)
	}
	ev, err := s.events.next()
	if err != nil && !s.client.acceptUnterminated {
		return Event{}, io.ErrUnexpectedEOF
	}
	if string(ev.Data) == terminator {
		return Event{}, io.EOF
	}
	return Event{Data: ev.Data}, err
}

func (s *faultyStream) Close() error { return nil }

// TestOracleDetectsFaultyClients checks that checkClient and checkStream detect each
// violation.
func TestOracleDetectsFaultyClients(t *testing.T) {
	cases := map[string]struct {
		client    *faultyClient
		script    []behaviour
		violation string
	}{
		"late response":    {&faultyClient{keepConn: true}, []behaviour{respondLate, respondWhole}, `request r1 got "response to r0"`},
		"swapped response": {&faultyClient{}, []behaviour{respondSwapped}, `request r0 got "response to other"`},
		"swapped token":    {&faultyClient{}, []behaviour{streamSwapped}, `request r0 got token "other.2"`},
		"not sent":         {&faultyClient{reportNotSent: true}, []behaviour{closeWithoutResponse}, "was reported as not sent"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.ErrorContains(t, checkClient(c.client, c.script), c.violation)
		})
	}
	t.Run("cut stream", func(t *testing.T) {
		short := &faultyStream{client: &faultyClient{acceptUnterminated: true}, remaining: []byte("data: r0.1\n\n")}
		require.ErrorContains(t, checkStream("r0", short), "ended as complete")
	})
}
