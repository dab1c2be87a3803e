package peer

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
)

var testSecret = []byte("a shared secret for the tests")

const (
	waitFor      = 10 * time.Second
	pollInterval = 2 * time.Millisecond
)

const methodEcho api.Method = "test.echo"

type echo struct {
	Text string `json:"text"`
}

func startNode(t *testing.T, change func(*Config)) *Node {
	t.Helper()
	cfg := Config{Address: "127.0.0.1:0", Secret: testSecret}
	if change != nil {
		change(&cfg)
	}
	n, err := Start(cfg)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, n.Close()) })
	n.Handle(methodEcho, Typed(func(_ context.Context, p echo) (echo, error) { return p, nil }))
	return n
}

// rawPeer is a connection on which a test reads and writes frames itself.
type rawPeer struct {
	t    *testing.T
	conn net.Conn
}

func dialRaw(t *testing.T, address string) *rawPeer {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(waitFor)))
	return &rawPeer{t: t, conn: conn}
}

func (p *rawPeer) write(b []byte) {
	p.t.Helper()
	_, err := p.conn.Write(b)
	require.NoError(p.t, err)
}

// writeJSON sends a payload in a frame.
func (p *rawPeer) writeJSON(payload string) { p.write(appendFrame(nil, []byte(payload))) }

// read returns the next payload, or io.EOF if the other side closed.
func (p *rawPeer) read() ([]byte, error) {
	header := make([]byte, frameHeader)
	if _, err := io.ReadFull(p.conn, header); err != nil {
		return nil, err
	}
	size, err := frameSize(header, DefaultMaxFrame)
	if err != nil {
		return nil, err
	}
	payload := make([]byte, size)
	_, err = io.ReadFull(p.conn, payload)
	return payload, err
}

// requireClosed fails if the other side sends anything before it closes.
func (p *rawPeer) requireClosed() {
	p.t.Helper()
	payload, err := p.read()
	require.Error(p.t, err, "got %s", payload)
	var netErr net.Error
	if ok := asNetError(err, &netErr); ok {
		require.False(p.t, netErr.Timeout(), "connection left open")
	}
}

func asNetError(err error, target *net.Error) bool {
	e, ok := err.(net.Error) //nolint:errorlint // only the outermost error matters here
	if ok {
		*target = e
	}
	return ok
}

// handshake completes the handshake as a dialer.
func (p *rawPeer) handshake(secret []byte) {
	p.t.Helper()
	h := newHandshake(secret)
	frame, err := h.start()
	require.NoError(p.t, err)
	for frame != nil {
		p.write(frame)
		payload, err := p.read()
		require.NoError(p.t, err)
		frame, err = h.dialerStep(payload)
		require.NoError(p.t, err)
	}
	require.True(p.t, h.done)
}

type rawResponse struct {
	ID     uint64          `json:"id"`
	Result json.RawMessage `json:"result"`
	Error  *struct {
		Code    int64     `json:"code"`
		Message string    `json:"message"`
		Data    errorData `json:"data"`
	} `json:"error"`
}

func (p *rawPeer) response() rawResponse {
	p.t.Helper()
	payload, err := p.read()
	require.NoError(p.t, err)
	var a rawResponse
	require.NoError(p.t, json.Unmarshal(payload, &a))
	return a
}

// rawServer accepts connections as rawPeers.
type rawServer struct {
	t  *testing.T
	ln net.Listener
}

func listenRaw(t *testing.T) *rawServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return &rawServer{t: t, ln: ln}
}

func (s *rawServer) addr() string { return s.ln.Addr().String() }

func (s *rawServer) accept() *rawPeer {
	conn, err := s.ln.Accept()
	if err != nil {
		s.t.Error(err)
		return nil
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitFor))
	return &rawPeer{t: s.t, conn: conn}
}

// acceptReady accepts a link and completes the handshake.
func (s *rawServer) acceptReady(secret []byte) *rawPeer {
	p := s.accept()
	h := newHandshake(secret)
	for !h.done {
		payload, err := p.read()
		if err != nil {
			s.t.Error(err)
			return p
		}
		frame, err := h.acceptorStep(payload)
		if err != nil {
			s.t.Error(err)
			return p
		}
		_, _ = p.conn.Write(frame)
	}
	return p
}
