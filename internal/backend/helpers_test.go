package backend

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const (
	testTimeout  = 10 * time.Second
	pollInterval = 2 * time.Millisecond
)

// closeConn in a script closes the connection, keepOpen keeps it open and sends nothing.
const (
	closeConn = "\x00close"
	keepOpen  = "\x00hold"
)

// endless in a script repeats what follows it until the client closes the connection.
const endless = "\x00endless"

// scriptedServer responds to the requests of each connection with the exact bytes
// of a script.
type scriptedServer struct {
	ln       net.Listener
	respond  func(request int) string
	requests atomic.Int64
	conns    atomic.Int64

	mu     sync.Mutex
	bodies []string
}

func startScriptedServer(t *testing.T, respond func(request int) string) *scriptedServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedServer{ln: ln, respond: respond}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			t.Cleanup(func() { _ = c.Close() })
			wg.Go(func() { s.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
	})
	return s
}

func (s *scriptedServer) addr() string { return s.ln.Addr().String() }

func (s *scriptedServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if err := req.Read(r); err != nil {
			return
		}
		n := int(s.requests.Add(1))
		s.mu.Lock()
		s.bodies = append(s.bodies, string(req.Body()))
		s.mu.Unlock()
		response := strings.ReplaceAll(s.respond(n), "{id}", string(req.Header.Peek("Crocusway-Request")))
		response, repeated, _ := strings.Cut(response, endless)
		text, closed := strings.CutSuffix(response, closeConn)
		text, keptOpen := strings.CutSuffix(text, keepOpen)
		if _, err := c.Write([]byte(text)); err != nil || closed {
			return
		}
		for repeated != "" {
			if _, err := c.Write([]byte(repeated)); err != nil {
				return
			}
		}
		if keptOpen {
			_, _ = r.ReadByte()
			return
		}
	}
}

// jsonResponse returns a complete response with a body.
func jsonResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nCrocusway-Request: %s\r\nContent-Length: %d\r\n\r\n%s",
		id, len(body), body)
}

// streamHead returns the header of a chunked event stream.
func streamHead(id string) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCrocusway-Request: " + id +
		"\r\nTransfer-Encoding: chunked\r\n\r\n"
}

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

const lastChunk = "0\r\n\r\n"

func token(id string, offset int) string {
	return chunk(fmt.Sprintf("id: %s/%d\ndata: t%d\n\n", id, offset, offset))
}

const done = "e\r\ndata: [DONE]\n\n\r\n"

func testClient(t *testing.T, change func(*Config)) *HTTPClient {
	t.Helper()
	cfg := Config{Token: "backend token", StallTimeout: testTimeout}
	if change != nil {
		change(&cfg)
	}
	c := NewClient(cfg)
	t.Cleanup(c.Close)
	return c
}

func engineRequest(address string) Request {
	return Request{
		ID: "r1", Address: address, Method: "POST", Path: "/v1/completions",
		ContentType: contentJSON, Body: []byte(`{}`), Fencing: 7,
	}
}
