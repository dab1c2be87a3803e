package peer

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// checkReflection connects a dialer to an acceptor without the secret that returns
// the dialer's proof. It returns an error if the dialer accepts the proof.
func checkReflection(mac macFunc) error {
	dialer := newHandshake(testSecret)
	dialer.mac = mac
	answer, err := encodeResult(jsonrpc2.ID{Num: helloID}, hello{Version: ProtocolVersion, Nonce: newNonce()})
	if err != nil {
		return err
	}
	frame, err := dialer.dialerStep(answer[frameHeader:])
	if err != nil {
		return err
	}
	var own proof
	if err = decodeHandshakeCall(frame[frameHeader:], proveID, methodProve, &own); err != nil {
		return err
	}
	answer, err = encodeResult(jsonrpc2.ID{Num: proveID}, own)
	if err != nil {
		return err
	}
	if _, err = dialer.dialerStep(answer[frameHeader:]); err == nil || dialer.done {
		return errors.New("dialer accepted a reflected proof")
	}
	return nil
}

func TestReflectionCheck(t *testing.T) {
	require.NoError(t, checkReflection(proofMAC))
	withoutRole := func(secret []byte, _ string, dialer, acceptor []byte) []byte {
		mac := hmac.New(sha256.New, secret)
		mac.Write(dialer)
		mac.Write(acceptor)
		return mac.Sum(nil)
	}
	require.ErrorContains(t, checkReflection(withoutRole), "accepted a reflected proof")
}

// reaction is the behavior of a faulty acceptor on one call.
type reaction int

const (
	reactRespond reaction = iota
	// reactLate responds after the caller's context was cancelled.
	reactLate
	// reactSwap responds with an unused id, then with the right one.
	reactSwap
	// reactClose closes the link without a response.
	reactClose
	reactError
	// reactDisconnected closes the link before the call is made.
	reactDisconnected
	reactions
)

// faultyAcceptor runs one reaction per call and records the calls that it read.
type faultyAcceptor struct {
	server *rawServer
	wait   sync.WaitGroup

	mu      sync.Mutex
	next    reaction
	read    map[string]bool
	arrived chan struct{}
	release chan struct{}
	conns   []net.Conn
}

func startAcceptor() (*faultyAcceptor, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &faultyAcceptor{server: &rawServer{ln: ln}, read: make(map[string]bool)}
	a.wait.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			a.mu.Lock()
			a.conns = append(a.conns, conn)
			a.mu.Unlock()
			a.wait.Go(func() { a.serve(&rawPeer{conn: conn}) })
		}
	})
	return a, nil
}

func (a *faultyAcceptor) close() {
	_ = a.server.ln.Close()
	a.closeLinks()
	a.wait.Wait()
}

func (a *faultyAcceptor) closeLinks() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.conns {
		_ = c.Close()
	}
	a.conns = nil
}

func (a *faultyAcceptor) serve(p *rawPeer) {
	defer func() { _ = p.conn.Close() }()
	h := newHandshake(testSecret)
	for {
		payload, err := p.read()
		if err != nil {
			return
		}
		if !h.done {
			frame, err := h.acceptorStep(payload)
			if err != nil {
				return
			}
			_, _ = p.conn.Write(frame)
			continue
		}
		if !a.react(p, payload) {
			return
		}
	}
}

func (a *faultyAcceptor) react(p *rawPeer, payload []byte) bool {
	m, err := decodeMessage(payload)
	if err != nil || m.request == nil {
		return false
	}
	var call echo
	if json.Unmarshal(*m.request.Params, &call) != nil {
		return false
	}
	a.mu.Lock()
	a.read[call.Text] = true
	r, arrived, release := a.next, a.arrived, a.release
	a.mu.Unlock()
	frame, _ := encodeResult(m.request.ID, call)
	switch r {
	case reactLate:
		close(arrived)
		<-release
	case reactSwap:
		other, _ := encodeResult(jsonrpc2.ID{Num: m.request.ID.Num + 1000}, echo{Text: "swapped"})
		frame = append(other, frame...)
	case reactError:
		frame, _ = encodeError(m.request.ID, errs.New(errs.Conflict, "react", "", "refused"))
	case reactClose:
		return false
	}
	_, err = p.conn.Write(frame)
	return err == nil
}

// checkCaller runs a script of calls and returns the first violation of the Caller
// contract: each call returns its own response, errors are typed with the peer set,
// and errs.Unavailable is returned only for calls that the acceptor did not read.
func checkCaller(caller Caller, script []reaction) error {
	a, err := startAcceptor()
	if err != nil {
		return err
	}
	defer a.close()
	for i, r := range script {
		if err := a.step(caller, r, fmt.Sprintf("call %d", i)); err != nil {
			return fmt.Errorf("step %d of %v: %w", i, script, err)
		}
	}
	return nil
}

func (a *faultyAcceptor) step(caller Caller, r reaction, text string) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitFor)
	defer cancel()
	arrived, release := make(chan struct{}), make(chan struct{})
	a.mu.Lock()
	a.next, a.arrived, a.release = r, arrived, release
	a.mu.Unlock()
	if r == reactDisconnected {
		a.closeLinks()
	}
	if r == reactLate {
		callCtx, cancelCall := context.WithCancel(ctx)
		defer cancelCall()
		ctx = callCtx
		go func() {
			select {
			case <-arrived:
				cancelCall()
			case <-callCtx.Done():
			}
		}()
		defer close(release)
	}
	var got echo
	err := caller.Call(ctx, a.server.addr(), methodEcho, echo{Text: text}, &got)
	if err == nil {
		if got.Text != text {
			return fmt.Errorf("%s got the response to %q", text, got.Text)
		}
		return nil
	}
	return a.checkError(text, err)
}

func (a *faultyAcceptor) checkError(text string, err error) error {
	var typed *errs.Error
	if !errors.As(err, &typed) || typed.Peer != a.server.addr() {
		return fmt.Errorf("%s: error without its peer: %w", text, err)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if errs.Is(err, errs.Unavailable) && a.read[text] {
		return fmt.Errorf("%s was read by the peer but reported as not sent", text)
	}
	return nil
}

func TestCallerGuarantees(t *testing.T) {
	n, err := Start(Config{Address: "127.0.0.1:0", Secret: testSecret, BackoffMin: 1, BackoffMax: 1})
	require.NoError(t, err)
	defer func() { require.NoError(t, n.Close()) }()
	rapid.Check(t, func(t *rapid.T) {
		script := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) reaction {
			return reaction(rapid.IntRange(0, int(reactions)-1).Draw(t, "reaction"))
		}), 1, 8).Draw(t, "script")
		if err := checkCaller(n, script); err != nil {
			t.Fatal(err)
		}
	})
}

// violatingCaller violates one rule of the contract of the caller that it wraps.
type violatingCaller struct {
	Caller
	// last is the previous response, which stale calls return instead of their own.
	last  *echo
	stale bool
	// misreport turns every error into errs.Unavailable.
	misreport bool
}

func (c *violatingCaller) Call(ctx context.Context, address string, method api.Method, params, result any) error {
	err := c.Caller.Call(ctx, address, method, params, result)
	if err != nil && c.misreport {
		return notSentError(address, err)
	}
	if got, ok := result.(*echo); ok && c.stale && err == nil {
		previous := c.last
		own := *got
		c.last = &own
		if previous != nil {
			*got = *previous
		}
	}
	return err
}

// TestOracleDetectsContractViolations checks that checkCaller reports each violation.
func TestOracleDetectsContractViolations(t *testing.T) {
	n := startNode(t, nil)
	require.ErrorContains(t, checkCaller(&violatingCaller{Caller: n, misreport: true}, []reaction{reactClose}),
		"was read by the peer but reported as not sent")
	require.ErrorContains(t, checkCaller(&violatingCaller{Caller: n, stale: true}, []reaction{reactRespond, reactRespond}),
		`call 1 got the response to "call 0"`)
}
