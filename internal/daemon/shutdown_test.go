package daemon

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/crocusway/crocusway/internal/config"
	"github.com/crocusway/crocusway/internal/ingress"
	"github.com/crocusway/crocusway/internal/logging"
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
	callers string
	others  []string
	stop    context.CancelFunc
	ended   chan struct{}
}

func startLonelyEntry(t *testing.T, lameDuck, grace time.Duration) *lonelyEntry {
	t.Helper()
	e := &lonelyEntry{callers: freeAddress(t), ended: make(chan struct{})}
	g, err := NewGateway(GatewayConfig{
		Name: "front", Role: config.RoleEntry, Domain: "cairo", PeerAddress: "127.0.0.1:0", CallerAddress: e.callers,
		ForwardAddress: freeAddress(t), Seeds: []string{silentListener(t)}, Secret: "a secret of the daemons",
		Ingress:        ingress.Settings{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 1 << 20, IdleTimeout: time.Minute},
		LameDuckPeriod: lameDuck, Grace: grace, LeastRequestTime: grace / 2, Logger: logging.New(t.Output(), "info"),
	})
	require.NoError(t, err)
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
