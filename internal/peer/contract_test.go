package peer

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

func helloFrame(t *testing.T, h hello) []byte {
	t.Helper()
	frame, err := encodeHandshakeCall(helloID, methodHello, h)
	require.NoError(t, err)
	return frame
}

// TestNoResponseBeforeHandshake checks that an acceptor closes a link without a
// response if the first message is not a valid hello.
func TestNoResponseBeforeHandshake(t *testing.T) {
	frame := func(payload string) []byte { return appendFrame(nil, []byte(payload)) }
	cases := map[string][]byte{
		"call":            frame(`{"jsonrpc":"2.0","id":1,"method":"test.echo","params":{"text":"x"}}`),
		"ping":            frame(`{"jsonrpc":"2.0","id":1,"method":"link.ping"}`),
		"proof first":     frame(`{"jsonrpc":"2.0","id":2,"method":"link.prove","params":{"mac":"AAAA"}}`),
		"not JSON":        frame(`hello`),
		"HTTP":            []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
		"empty frame":     {0, 0, 0, 0},
		"oversized":       binary.BigEndian.AppendUint32(nil, handshakeFrame+1),
		"wrong version":   helloFrame(t, hello{Version: ProtocolVersion + 1, Nonce: newNonce()}),
		"short nonce":     helloFrame(t, hello{Version: ProtocolVersion, Nonce: []byte{1}}),
		"unknown field":   frame(`{"jsonrpc":"2.0","id":1,"method":"link.hello","params":{"version":1,"nonce":"","more":1}}`),
		"trailing bytes":  frame(`{"jsonrpc":"2.0","id":1,"method":"link.hello","params":{}} {}`),
		"wrong protocol":  frame(`{"jsonrpc":"1.0","id":1,"method":"link.hello","params":{}}`),
		"answer":          frame(`{"jsonrpc":"2.0","id":1,"result":{}}`),
		"missing version": frame(`{"id":1,"method":"link.hello","params":{}}`),
	}
	n := startNode(t, nil)
	for name, bytes := range cases {
		t.Run(name, func(t *testing.T) {
			p := dialRaw(t, n.Addr())
			p.write(bytes)
			p.requireClosed()
		})
	}
}

func TestWrongSecretIsRefused(t *testing.T) {
	n := startNode(t, nil)
	p := dialRaw(t, n.Addr())
	h := newHandshake([]byte("another secret of the right size"))
	frame, err := h.start()
	require.NoError(t, err)
	p.write(frame)
	payload, err := p.read()
	require.NoError(t, err)
	frame, err = h.dialerStep(payload)
	require.NoError(t, err)
	p.write(frame)
	p.requireClosed()
	require.Eventually(t, func() bool { return n.Stats().HandshakeFailures == 1 }, waitFor, pollInterval)
}

// TestReflectedProofIsRefused sends an acceptor a proof with the acceptor's role.
func TestReflectedProofIsRefused(t *testing.T) {
	n := startNode(t, nil)
	own := newNonce()
	p := dialRaw(t, n.Addr())
	p.write(helloFrame(t, hello{Version: ProtocolVersion, Nonce: own}))
	payload, err := p.read()
	require.NoError(t, err)
	var answer hello
	require.NoError(t, decodeHandshakeResponse(payload, helloID, &answer))
	reflected := proof{MAC: proofMAC(testSecret, roleAcceptor, own, answer.Nonce)}
	frame, err := encodeHandshakeCall(proveID, methodProve, reflected)
	require.NoError(t, err)
	p.write(frame)
	p.requireClosed()
}

// TestReflectingAcceptorIsRefused checks that a dialer rejects an acceptor that
// returns the dialer's own nonce or proof.
func TestReflectingAcceptorIsRefused(t *testing.T) {
	for name, reflectNonce := range map[string]bool{"nonce": true, "proof": false} {
		t.Run(name, func(t *testing.T) {
			n := startNode(t, nil)
			s := listenRaw(t)
			go reflectHandshake(s, reflectNonce)
			err := n.Call(t.Context(), s.addr(), methodEcho, echo{}, nil)
			require.Equal(t, errs.Unavailable, errs.CodeOf(err), "%v", err)
		})
	}
}

func reflectHandshake(s *rawServer, reflectNonce bool) {
	p := s.accept()
	payload, err := p.read()
	if err != nil {
		s.t.Error(err)
		return
	}
	var call hello
	if err = decodeHandshakeCall(payload, helloID, methodHello, &call); err != nil {
		s.t.Error(err)
		return
	}
	nonce := call.Nonce
	if !reflectNonce {
		nonce = newNonce()
	}
	frame, _ := encodeResult(jsonrpc2.ID{Num: helloID}, hello{Version: ProtocolVersion, Nonce: nonce})
	_, _ = p.conn.Write(frame)
	payload, err = p.read()
	if err != nil {
		return
	}
	var proven proof
	if err = decodeHandshakeCall(payload, proveID, methodProve, &proven); err != nil {
		s.t.Error(err)
		return
	}
	frame, _ = encodeResult(jsonrpc2.ID{Num: proveID}, proven)
	_, _ = p.conn.Write(frame)
}

func TestUnfinishedHandshakeTimesOut(t *testing.T) {
	short := func(c *Config) { c.HandshakeTimeout = 20 * time.Millisecond }
	for name, bytes := range map[string][]byte{
		"silent":    nil,
		"truncated": {0, 0, 0, 50, '{'},
		"half":      helloFrame(t, hello{Version: ProtocolVersion, Nonce: newNonce()}),
	} {
		t.Run("acceptor "+name, func(t *testing.T) {
			n := startNode(t, short)
			p := dialRaw(t, n.Addr())
			p.write(bytes)
			require.Eventually(t, func() bool { return n.Stats().HandshakeFailures == 1 }, waitFor, pollInterval)
			require.Eventually(t, func() bool { return n.Stats().Links == 0 }, waitFor, pollInterval)
		})
	}
	t.Run("dialer", func(t *testing.T) {
		n := startNode(t, short)
		s := listenRaw(t)
		go s.accept()
		err := n.Call(t.Context(), s.addr(), methodEcho, echo{}, nil)
		require.Equal(t, errs.Unavailable, errs.CodeOf(err), "%v", err)
	})
}

// TestCallContract checks the responses to valid and invalid calls on an open link.
func TestCallContract(t *testing.T) {
	cases := map[string]struct {
		payload string
		code    errs.Code
		rpc     int64
	}{
		"unknown method":     {`{"jsonrpc":"2.0","id":9,"method":"no.such"}`, errs.NotFound, jsonrpc2.CodeMethodNotFound},
		"unknown parameter":  {`{"jsonrpc":"2.0","id":9,"method":"test.echo","params":{"txt":"x"}}`, errs.Invalid, jsonrpc2.CodeInvalidParams},
		"wrong type":         {`{"jsonrpc":"2.0","id":9,"method":"test.echo","params":{"text":5}}`, errs.Invalid, jsonrpc2.CodeInvalidParams},
		"params not decoded": {`{"jsonrpc":"2.0","id":9,"method":"test.echo","params":[1]}`, errs.Invalid, jsonrpc2.CodeInvalidParams},
		"good":               {`{"jsonrpc":"2.0","id":9,"method":"test.echo","params":{"text":"x"}}`, "", 0},
		"without params":     {`{"jsonrpc":"2.0","id":9,"method":"test.echo"}`, "", 0},
		"with timeout":       {`{"jsonrpc":"2.0","id":9,"method":"test.echo","params":{},"meta":{"timeout_millis":5000}}`, "", 0},
	}
	n := startNode(t, nil)
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := dialRaw(t, n.Addr())
			p.handshake(testSecret)
			p.writeJSON(c.payload)
			a := p.response()
			require.Equal(t, uint64(9), a.ID)
			if c.code == "" {
				require.Nil(t, a.Error)
				return
			}
			require.NotNil(t, a.Error)
			require.Equal(t, c.code, a.Error.Data.Code)
			require.Equal(t, c.rpc, a.Error.Code)
		})
	}
}

// TestMalformedMessageClosesLink checks that an acceptor closes an open link on each
// malformed message.
func TestMalformedMessageClosesLink(t *testing.T) {
	cases := map[string][]byte{
		"not JSON":       appendFrame(nil, []byte("x")),
		"oversized":      binary.BigEndian.AppendUint32(nil, DefaultMaxFrame+1),
		"empty":          {0, 0, 0, 0},
		"answer":         appendFrame(nil, []byte(`{"jsonrpc":"2.0","id":1,"result":{}}`)),
		"unknown member": appendFrame(nil, []byte(`{"jsonrpc":"2.0","id":1,"method":"test.echo","more":1}`)),
		"both kinds":     appendFrame(nil, []byte(`{"jsonrpc":"2.0","id":1,"method":"test.echo","result":1}`)),
		"object id":      appendFrame(nil, []byte(`{"jsonrpc":"2.0","id":{},"method":"test.echo"}`)),
	}
	n := startNode(t, nil)
	for name, bytes := range cases {
		t.Run(name, func(t *testing.T) {
			p := dialRaw(t, n.Addr())
			p.handshake(testSecret)
			p.write(bytes)
			p.requireClosed()
		})
	}
}

func TestTruncatedFrameRunsNothing(t *testing.T) {
	n := startNode(t, nil)
	ran := make(chan struct{}, 1)
	n.Handle("test.run", func(context.Context, json.RawMessage) (any, error) {
		ran <- struct{}{}
		return api.Empty{}, nil
	})
	p := dialRaw(t, n.Addr())
	p.handshake(testSecret)
	frame := appendFrame(nil, []byte(`{"jsonrpc":"2.0","id":9,"method":"test.run"}`))
	p.write(frame[:len(frame)-1])
	require.NoError(t, p.conn.Close())
	require.Eventually(t, func() bool { return n.Stats().Links == 0 }, waitFor, pollInterval)
	require.Empty(t, ran)
}

func TestFrameArrivesByteByByte(t *testing.T) {
	n := startNode(t, nil)
	p := dialRaw(t, n.Addr())
	p.handshake(testSecret)
	for _, b := range appendFrame(nil, []byte(`{"jsonrpc":"2.0","id":9,"method":"test.echo"}`)) {
		p.write([]byte{b})
	}
	require.Equal(t, uint64(9), p.response().ID)
}

func TestRepeatedIDClosesLink(t *testing.T) {
	n := startNode(t, nil)
	entered := make(chan struct{}, 2)
	n.Handle("test.hold", func(ctx context.Context, _ json.RawMessage) (any, error) {
		entered <- struct{}{}
		<-ctx.Done()
		return nil, ctx.Err()
	})
	p := dialRaw(t, n.Addr())
	p.handshake(testSecret)
	call := `{"jsonrpc":"2.0","id":9,"method":"test.hold","meta":{"timeout_millis":600000}}`
	p.writeJSON(call)
	<-entered
	p.writeJSON(call)
	p.requireClosed()
	require.Empty(t, entered)
}

// TestDialerContract checks the results of two calls in flight for various responses
// of the acceptor.
func TestDialerContract(t *testing.T) {
	result := func(id, text string) string {
		return `{"jsonrpc":"2.0","id":` + id + `,"result":{"text":"` + text + `"}}`
	}
	cases := map[string]struct {
		answers []string
		codes   [2]errs.Code
	}{
		"in order":       {[]string{result("3", "a"), result("4", "b")}, [2]errs.Code{}},
		"out of order":   {[]string{result("4", "b"), result("3", "a")}, [2]errs.Code{}},
		"repeated":       {[]string{result("3", "a"), result("3", "z"), result("4", "b")}, [2]errs.Code{}},
		"unknown id":     {[]string{result("77", "z"), result("3", "a"), result("4", "b")}, [2]errs.Code{}},
		"one lost":       {[]string{result("4", "b"), "close"}, [2]errs.Code{errs.Timeout, ""}},
		"call":           {[]string{result("3", "a"), `{"jsonrpc":"2.0","id":4,"method":"x"}`}, [2]errs.Code{"", errs.Timeout}},
		"bad error data": {[]string{result("3", "a"), `{"jsonrpc":"2.0","id":4,"error":{"code":1,"message":"m","data":[]}}`}, [2]errs.Code{"", errs.Internal}},
		"null result":    {[]string{result("3", "a"), `{"jsonrpc":"2.0","id":4,"result":null}`, result("4", "b")}, [2]errs.Code{}},
		"bad result":     {[]string{result("3", "a"), `{"jsonrpc":"2.0","id":4,"result":"x"}`}, [2]errs.Code{"", errs.Internal}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := startNode(t, nil)
			s := listenRaw(t)
			bothSent, served := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(served)
				p := s.acceptReady(testSecret)
				<-bothSent
				respondToTwoCalls(p, c.answers)
			}()
			var results [2]chan error
			texts := [2]echo{}
			l, err := n.target(s.addr()).link(t.Context())
			require.NoError(t, err)
			for i := range results {
				results[i] = make(chan error, 1)
				go func() { results[i] <- n.Call(t.Context(), s.addr(), methodEcho, echo{}, &texts[i]) }()
				require.Eventually(t, func() bool { return l.inFlight() == i+1 }, waitFor, pollInterval)
			}
			close(bothSent)
			for i, want := range []string{"a", "b"} {
				err := <-results[i]
				if c.codes[i] != "" {
					require.Equal(t, c.codes[i], errs.CodeOf(err), "%v", err)
					continue
				}
				require.NoError(t, err)
				if name != "null result" {
					require.Equal(t, want, texts[i].Text)
				}
			}
			<-served
		})
	}
}

// respondToTwoCalls reads two calls, then sends the given responses. "close" closes
// the connection.
func respondToTwoCalls(p *rawPeer, responses []string) {
	for range 2 {
		if _, err := p.read(); err != nil {
			p.t.Error(err)
			return
		}
	}
	for _, a := range responses {
		if a == "close" {
			_ = p.conn.Close()
			return
		}
		_, _ = p.conn.Write(appendFrame(nil, []byte(a)))
	}
}

func (l *link) inFlight() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending)
}

func TestResponseAfterTimeoutIsDropped(t *testing.T) {
	n := startNode(t, nil)
	s := listenRaw(t)
	late := make(chan struct{})
	go func() {
		p := s.acceptReady(testSecret)
		_, _ = p.read()
		<-late
		_, _ = p.conn.Write(appendFrame(nil, []byte(`{"jsonrpc":"2.0","id":3,"result":{"text":"late"}}`)))
		_, _ = p.read()
		_, _ = p.conn.Write(appendFrame(nil, []byte(`{"jsonrpc":"2.0","id":4,"result":{"text":"own"}}`)))
	}()
	ctx, cancel := context.WithCancel(t.Context())
	l, err := n.target(s.addr()).link(ctx)
	require.NoError(t, err)
	done := make(chan error, 1)
	go func() { done <- n.Call(ctx, s.addr(), methodEcho, echo{}, nil) }()
	require.Eventually(t, func() bool { return l.inFlight() == 1 }, waitFor, pollInterval)
	cancel()
	require.Equal(t, errs.Timeout, errs.CodeOf(<-done))
	close(late)
	var got echo
	require.NoError(t, n.Call(t.Context(), s.addr(), methodEcho, echo{}, &got))
	require.Equal(t, "own", got.Text)
	require.Equal(t, int64(1), n.Stats().LateAnswers)
}

// TestFullQueue fills the send queue of a link whose peer does not read, and checks
// that it accepts messages again once the peer reads.
func TestFullQueue(t *testing.T) {
	n := startNode(t, func(c *Config) {
		c.MaxFrame = 64 << 10
		c.QueueBytes = 128 << 10
	})
	s := listenRaw(t)
	accepted := make(chan *rawPeer, 1)
	go func() { accepted <- s.acceptReady(testSecret) }()
	_, err := n.target(s.addr()).link(t.Context())
	require.NoError(t, err)
	p := <-accepted
	text := strings.Repeat("x", 60<<10)
	// The kernel may drain a full queue at any time, so a call right after a
	// rejected notification may still be queued and time out.
	require.Eventually(t, func() bool {
		for !errs.Is(n.Notify(s.addr(), "test.note", echo{Text: text}), errs.Full) {
		}
		ctx, cancel := context.WithTimeout(t.Context(), pollInterval)
		defer cancel()
		code := errs.CodeOf(n.Call(ctx, s.addr(), methodEcho, echo{Text: text}, nil))
		assert.Contains(t, []errs.Code{errs.Full, errs.Timeout}, code)
		return code == errs.Full
	}, waitFor, pollInterval)
	require.Positive(t, n.Stats().QueueFull)

	go func() {
		for {
			if _, err := p.read(); err != nil {
				return
			}
		}
	}()
	require.Eventually(t, func() bool {
		return n.Notify(s.addr(), "test.note", echo{Text: text}) == nil
	}, waitFor, pollInterval)
}

// TestPanicOfHandlerEndsOnlyItsCall guards against one call or notification that ends the
// process.
func TestPanicOfHandlerEndsOnlyItsCall(t *testing.T) {
	a, b := startNode(t, nil), startNode(t, nil)
	b.Handle("test.panic", func(context.Context, json.RawMessage) (any, error) { panic("broken") })
	err := a.Call(t.Context(), b.Addr(), "test.panic", echo{}, nil)
	require.Equal(t, errs.Internal, errs.CodeOf(err), "%v", err)
	require.NoError(t, a.Notify(b.Addr(), "test.panic", echo{}))
	require.NoError(t, a.Call(t.Context(), b.Addr(), methodEcho, echo{}, nil))
	require.Equal(t, int64(1), a.Stats().Dials)
}
