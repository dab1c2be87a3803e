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

// behaviour is what a faulty server does with one request.
type behaviour int

const (
	answerWhole behaviour = iota
	answerLate
	answerSwapped
	answerTruncated
	answerNothing
	streamWhole
	streamCut
	streamSwapped
	streamUnended
	refuseConnection
	behaviours
)

// faultyServer records the requests that it read and misbehaves as told.
type faultyServer struct {
	ln   net.Listener
	wait sync.WaitGroup

	mu   sync.Mutex
	next behaviour
	seen map[api.RequestID]bool
	// arrived and release order a late answer after its caller gave up.
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
		if b == answerLate {
			close(arrived)
			<-release
		}
		text, open := answerText(b, string(id))
		if _, err := c.Write([]byte(text)); err != nil || !open {
			return
		}
	}
}

// oracleTokens is the length of every stream.
const oracleTokens = 3

// answerText is what the server writes, and whether it keeps the connection.
func answerText(b behaviour, id string) (string, bool) {
	switch b {
	case answerSwapped:
		return plain("other", "answer of other"), true
	case answerTruncated:
		text := plain(id, "answer of "+id)
		return text[:len(text)-3], false
	case answerNothing:
		return "", false
	case streamWhole, streamCut, streamSwapped, streamUnended:
		return streamText(b, id), b != streamCut
	default:
		return plain(id, "answer of "+id), true
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
	if b == streamUnended {
		return text + lastChunk
	}
	return text + done + lastChunk
}

// checkClient runs a script against a client and returns the first breach of
// what a client promises: own and whole answers, and not-sent only when the
// server saw nothing.
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
	if b == answerLate {
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

// closedAddress is a port that nobody listens on.
const closedAddress = "127.0.0.1:1"

func (s *faultyServer) checkError(id api.RequestID, err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, ErrNotSent) && s.seen[id] {
		return fmt.Errorf("request %s reached the server but was called not sent", id)
	}
	return nil
}

func checkBody(id api.RequestID, body []byte) error {
	if want := "answer of " + string(id); string(body) != want {
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
				return fmt.Errorf("request %s: stream of %d tokens ended as whole", id, delivered)
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

func TestClientKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		client := NewClient(Config{})
		defer client.Close()
		script := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) behaviour {
			return behaviour(rapid.IntRange(0, int(behaviours)-1).Draw(t, "behaviour"))
		}), 1, 8).Draw(t, "script")
		if err := checkClient(client, script); err != nil {
			t.Fatal(err)
		}
	})
}

// careless is a client with one connection, which it keeps after a timeout, and
// with a choice of further faults.
type careless struct {
	conn net.Conn
	// keep leaves a connection open after a failed call; blame calls every
	// failure not sent; trust accepts a stream without its terminator.
	keep, blame, trust bool
}

func (c *careless) Cancel(context.Context, string, api.RequestID) error { return nil }

func (c *careless) Do(ctx context.Context, r Request) (*Response, error) {
	response, err := c.do(ctx, r)
	if err != nil && (!c.keep || ctx.Err() == nil) && c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
	if err != nil && c.blame {
		err = notSent{err}
	}
	return response, err
}

func (c *careless) do(ctx context.Context, r Request) (*Response, error) {
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
	return &Response{Stream: &carelessStream{client: c, left: body}}, nil
}

// carelessStream ignores ids, and the terminator if told to.
type carelessStream struct {
	client *careless
	left   []byte
	events *sseReader
}

func (s *carelessStream) Next() (Event, error) {
	if s.events == nil {
		s.events = newSSEReader(bufio.NewReader(&slowReader{b: s.left, size: len(s.left)}), 1<<20)
	}
	ev, err := s.events.next()
	if err != nil && !s.client.trust {
		return Event{}, io.ErrUnexpectedEOF
	}
	if string(ev.Data) == terminator {
		return Event{}, io.EOF
	}
	return Event{Data: ev.Data}, err
}

func (s *carelessStream) Close() error { return nil }

// TestOracleCatchesCarelessClients shows that the oracle reports each breach.
func TestOracleCatchesCarelessClients(t *testing.T) {
	cases := map[string]struct {
		client *careless
		script []behaviour
		breach string
	}{
		"late answer":    {&careless{keep: true}, []behaviour{answerLate, answerWhole}, `request r1 got "answer of r0"`},
		"swapped answer": {&careless{}, []behaviour{answerSwapped}, `request r0 got "answer of other"`},
		"swapped token":  {&careless{}, []behaviour{streamSwapped}, `request r0 got token "other.2"`},
		"not sent":       {&careless{blame: true}, []behaviour{answerNothing}, "was called not sent"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			require.ErrorContains(t, checkClient(c.client, c.script), c.breach)
		})
	}
	t.Run("cut stream", func(t *testing.T) {
		short := &carelessStream{client: &careless{trust: true}, left: []byte("data: r0.1\n\n")}
		require.ErrorContains(t, checkStream("r0", short), "ended as whole")
	})
}
