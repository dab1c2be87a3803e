package intake

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const waitFor = 10 * time.Second

// served is a server on a loopback address.
type served struct {
	t       *testing.T
	server  *Server
	account *Account
	address string
}

// serve starts a server whose handler answers with the length of the body.
func serve(t *testing.T, account *Account, limits Limits) *served {
	t.Helper()
	s := &served{t: t, account: account}
	handler := func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(fmt.Sprint(len(ctx.PostBody()))) }
	s.start(Config{
		Handler: WithBody(AtMost(limits.withDefaults().MaxBody), limits.withDefaults().BodyTimeout, RefusePlain, handler),
		Account: account, MaxHead: limits.withDefaults().MaxHead, Limits: func() Limits { return limits },
	})
	return s
}

func (s *served) start(cfg Config) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	s.server, s.address = NewServer(cfg), ln.Addr().String()
	done := make(chan error, 1)
	go func() { done <- s.server.Serve(ln) }()
	s.t.Cleanup(func() {
		_ = ln.Close()
		require.NoError(s.t, <-done)
	})
}

// caller is a connection to a server.
type caller struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func (s *served) dial() *caller {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	require.NoError(s.t, err)
	s.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(s.t, conn.SetDeadline(time.Now().Add(waitFor)))
	return &caller{Conn: conn, t: s.t, r: bufio.NewReader(conn)}
}

func (c *caller) send(text string) *caller {
	c.t.Helper()
	_, err := c.Write([]byte(text))
	require.NoError(c.t, err)
	return c
}

// status reads an answer and returns its status and whether it closes the connection.
func (c *caller) status() (status int, closes bool) {
	c.t.Helper()
	response, err := http.ReadResponse(c.r, nil)
	require.NoError(c.t, err)
	defer func() { _ = response.Body.Close() }()
	_, err = bufio.NewReader(response.Body).WriteTo(discard{})
	require.NoError(c.t, err)
	return response.StatusCode, response.Close
}

// isClosed reports whether the server closes the connection without an answer.
func (c *caller) isClosed() bool {
	_, err := c.r.ReadByte()
	return err != nil && !isTimeout(err)
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// held waits until the account holds what a check accepts.
func (s *served) held(check func(Usage) bool) {
	s.t.Helper()
	require.Eventually(s.t, func() bool { return check(s.account.Usage()) }, waitFor, time.Millisecond)
}
