package daemon

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/ingress"
	"github.com/crocusway/crocusway/internal/logging"
	"github.com/crocusway/crocusway/internal/routing"
)

// silentListener accepts connections and never answers, like a control daemon that is cut off.
func silentListener(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// lonelyEntry is a running entry whose control daemons don't answer.
type lonelyEntry struct {
	*Gateway
	callers string
	forward string
	others  []string
	stop    context.CancelFunc
	ended   chan struct{}
}

func startLonelyEntry(t *testing.T, lameDuck, grace time.Duration) *lonelyEntry {
	t.Helper()
	e := &lonelyEntry{callers: freeAddress(t), forward: freeAddress(t), ended: make(chan struct{})}
	g, err := NewGateway(GatewayConfig{
		Name: "front", Role: config.RoleEntry, Domain: "cairo", PeerAddress: "127.0.0.1:0", CallerAddress: e.callers,
		ForwardAddress: e.forward, Seeds: []string{silentListener(t)}, Secret: "a secret of the daemons",
		Dialect:        plainDialect{},
		Ingress:        ingress.Settings{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, IdleTimeout: time.Minute},
		LameDuckPeriod: lameDuck, Grace: grace, LeastRequestTime: grace / 2, Logger: logging.New(t.Output(), "info"),
	})
	require.NoError(t, err)
	e.Gateway = g
	g.Mount(Endpoint{Address: e.callers, Server: g.Callers(), Callers: true})
	for range 4 {
		address := freeAddress(t)
		e.others = append(e.others, address)
		g.Mount(Endpoint{Address: address, Server: &fasthttp.Server{Handler: g.Metrics()}})
	}
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	go func() {
		defer close(e.ended)
		_ = g.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-e.ended
	})
	e.dial(t, e.callers)
	return e
}

// dial opens a connection that stays open until the end of the test.
func (e *lonelyEntry) dial(t *testing.T, address string) {
	t.Helper()
	require.Eventually(t, func() bool {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err == nil {
			t.Cleanup(func() { _ = conn.Close() })
		}
		return err == nil
	}, 5*time.Second, time.Millisecond)
}

// TestLameDuckPeriodDoesNotWaitForControl guards against an entry that takes callers for longer,
// and has less time for their requests, while control is out of reach.
func TestLameDuckPeriodDoesNotWaitForControl(t *testing.T) {
	e := startLonelyEntry(t, 100*time.Millisecond, 5*time.Second)
	e.stop()
	e.awaitClosed(t)
}

// awaitClosed waits until the entry takes no more connections of callers.
func (e *lonelyEntry) awaitClosed(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		conn, err := net.DialTimeout("tcp", e.callers, time.Second)
		if err == nil {
			_ = conn.Close()
		}
		return err != nil
	}, time.Second, 10*time.Millisecond)
}

// TestExitDoesNotWaitForEndpointsInTurn guards against an entry that is killed because its
// endpoints used up the time between the end of its grace period and the kill.
func TestExitDoesNotWaitForEndpointsInTurn(t *testing.T) {
	const (
		grace      = time.Second
		exitMargin = 1200 * time.Millisecond
	)
	e := startLonelyEntry(t, grace, grace)
	for _, address := range e.others {
		e.dial(t, address)
	}
	e.stop()
	select {
	case <-e.ended:
	case <-time.After(grace + exitMargin):
		t.Fatal("the entry still runs")
	}
}

// plainDialect passes nothing on but the length of a body.
type plainDialect struct{}

func (plainDialect) DecodeRequest(*fasthttp.RequestHeader) ingress.Head { return ingress.Head{} }

func (plainDialect) AppendRequest(dst []byte, _ *fasthttp.RequestHeader, out ingress.Outgoing) []byte {
	return fmt.Appendf(dst, "Content-Length: %d\r\n", max(0, out.BodyBytes))
}

func (plainDialect) DecodeAnswer(*fasthttp.ResponseHeader) ingress.Answer {
	return ingress.Answer{Sealed: true}
}

func (plainDialect) CopyAnswer(_, _ *fasthttp.ResponseHeader) {}

func (plainDialect) SetRefusal(*fasthttp.ResponseHeader, string) {}

// serveFrom gives the entry one route, to a backend server.
func (e *lonelyEntry) serveFrom(t *testing.T, server http.HandlerFunc) {
	t.Helper()
	backend := httptest.NewServer(server)
	t.Cleanup(backend.Close)
	packed, err := routing.Pack(&api.Publication{
		Version: 1,
		Routes: []api.Route{{
			Name: "read", Host: "api.example", PathPrefix: "/", Kind: api.CallIdempotent, TimeoutMillis: 10_000, MaxAttempts: 1, Public: true,
			Split: []api.RouteShare{{Service: "ledger", Weight: 1}},
		}},
		Services: []api.PublishedService{{Name: "ledger"}},
	})
	require.NoError(t, err)
	e.state.Apply(api.View{Revision: 1, Publication: &packed, Servers: []api.ServiceServer{
		{Host: "l1", Service: "ledger", Domain: "cairo", Address: backend.Listener.Addr().String(), Incarnation: 1, Warm: true, Slots: 4},
	}})
	e.ingress.Apply(e.state.Snapshot())
}

// TestLeavingEntryTakesForwardedRequestsUntilItsExit guards against entries that have lost their
// links to all servers while the last entry that has some shuts down: nobody served their callers.
func TestLeavingEntryTakesForwardedRequestsUntilItsExit(t *testing.T) {
	e := startLonelyEntry(t, 50*time.Millisecond, 10*time.Second)
	arrived, release := make(chan struct{}), make(chan struct{})
	e.serveFrom(t, func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-release
		_, _ = w.Write([]byte("whole"))
	})
	body := make(chan string, 1)
	go func() { body <- get(e.callers) }()
	select {
	case <-arrived:
	case early := <-body:
		t.Fatal(early)
	}
	e.stop()
	e.awaitClosed(t)
	conn, err := net.DialTimeout("tcp", e.forward, time.Second)
	close(release)
	require.Equal(t, "whole", <-body)
	require.NoError(t, err)
	_ = conn.Close()
	<-e.ended
}

// get returns the body of the answer to a request, or the error.
func get(address string) string {
	client := &fasthttp.HostClient{Addr: address}
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://api.example/1")
	if err := client.DoTimeout(req, res, 20*time.Second); err != nil {
		return err.Error()
	}
	return string(res.Body())
}
