package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"
	"github.com/stretchr/testify/require"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

func TestCallReturnsResult(t *testing.T) {
	a, b := startNode(t, nil), startNode(t, nil)
	var got echo
	require.NoError(t, a.Call(t.Context(), b.Addr(), methodEcho, echo{Text: "hello"}, &got))
	require.Equal(t, "hello", got.Text)
	stats := a.Stats()
	require.Positive(t, stats.SentBytes)
	require.Positive(t, stats.ReceivedBytes)
	require.Equal(t, int64(1), stats.Dials)
}

func TestConcurrentCallsReceiveOwnResponses(t *testing.T) {
	a, b := startNode(t, nil), startNode(t, nil)
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			text := strings.Repeat(fmt.Sprint(i), 100)
			var got echo
			if err := a.Call(t.Context(), b.Addr(), methodEcho, echo{Text: text}, &got); err != nil {
				t.Error(err)
			}
			if got.Text != text {
				t.Errorf("call %d got the response to another call", i)
			}
		})
	}
	wg.Wait()
	require.Equal(t, int64(1), a.Stats().Dials)
}

func TestLargeMessages(t *testing.T) {
	a, b := startNode(t, nil), startNode(t, nil)
	text := strings.Repeat("x", DefaultMaxFrame-1024)
	// Frames of this size take seconds with the race detector; the test checks sizes,
	// not time.
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var got echo
	require.NoError(t, a.Call(ctx, b.Addr(), methodEcho, echo{Text: text}, &got))
	require.Len(t, got.Text, len(text))

	err := a.Call(ctx, b.Addr(), methodEcho, echo{Text: strings.Repeat("x", DefaultMaxFrame)}, &got)
	require.Equal(t, errs.Invalid, errs.CodeOf(err))
}

func TestNotifyReachesHandler(t *testing.T) {
	a, b := startNode(t, nil), startNode(t, nil)
	got := make(chan string, 1)
	b.Handle("test.note", Typed(func(_ context.Context, p echo) (api.Empty, error) {
		got <- p.Text
		return api.Empty{}, nil
	}))
	require.True(t, errs.Is(a.Notify(b.Addr(), "test.note", echo{Text: "early"}), errs.Unavailable))
	require.NoError(t, a.Call(t.Context(), b.Addr(), methodEcho, echo{}, nil))
	require.NoError(t, a.Notify(b.Addr(), "test.note", echo{Text: "note"}))
	require.Equal(t, "note", <-got)
}

func TestErrorsKeepCodeStepAndDetail(t *testing.T) {
	a, b := startNode(t, nil), startNode(t, nil)
	b.Handle("test.fail", func(context.Context, json.RawMessage) (any, error) {
		return nil, &errs.Error{
			Code: errs.NotLeader, Step: "propose", Detail: "127.0.0.1:7",
			RetryAfterMillis: 30, Err: errors.New("not the leader"),
		}
	})
	err := a.Call(t.Context(), b.Addr(), "test.fail", nil, nil)
	var typed *errs.Error
	require.ErrorAs(t, err, &typed)
	require.Equal(t, errs.NotLeader, typed.Code)
	require.Equal(t, "propose", typed.Step)
	require.Equal(t, b.Addr(), typed.Peer)
	require.Equal(t, "127.0.0.1:7", typed.Detail)
	require.Equal(t, int64(30), typed.RetryAfterMillis)
	require.Equal(t, "propose (peer "+b.Addr()+"): not the leader", err.Error())
}

// TestUnopenedNodeRefusesCalls checks that a call between the start of a node and the
// registration of its handlers fails with errs.Unavailable. "Unknown method" would
// not be retried.
func TestUnopenedNodeRefusesCalls(t *testing.T) {
	a := startNode(t, nil)
	b := startNode(t, func(c *Config) { c.RefuseUntilOpen = true })
	err := a.Call(t.Context(), b.Addr(), "test.later", nil, nil)
	require.Equal(t, errs.Unavailable, errs.CodeOf(err), "%v", err)
	b.Handle("test.later", Typed(func(context.Context, api.Empty) (api.Empty, error) { return api.Empty{}, nil }))
	b.Open()
	require.NoError(t, a.Call(t.Context(), b.Addr(), "test.later", api.Empty{}, nil))
}

func TestUnavailableWithoutListener(t *testing.T) {
	a := startNode(t, nil)
	b := startNode(t, nil)
	address := b.Addr()
	require.NoError(t, b.Close())
	for range 3 {
		err := a.Call(t.Context(), address, methodEcho, echo{}, nil)
		require.Equal(t, errs.Unavailable, errs.CodeOf(err), "%v", err)
	}
}

func TestServerRestart(t *testing.T) {
	a := startNode(t, nil)
	b := startNode(t, nil)
	address := b.Addr()
	require.NoError(t, a.Call(t.Context(), address, methodEcho, echo{}, nil))
	require.NoError(t, b.Close())
	require.Eventually(t, func() bool { return a.Stats().Links == 0 }, waitFor, pollInterval)
	require.True(t, errs.Is(a.Call(t.Context(), address, methodEcho, echo{}, nil), errs.Unavailable))

	startNode(t, func(c *Config) { c.Address = address })
	require.Eventually(t, func() bool {
		return a.Call(t.Context(), address, methodEcho, echo{}, nil) == nil
	}, waitFor, pollInterval)
}

func TestLinkLossReturnsTimeout(t *testing.T) {
	a, b := startNode(t, nil), startNode(t, nil)
	entered := make(chan struct{})
	b.Handle("test.hang", func(ctx context.Context, _ json.RawMessage) (any, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	done := make(chan error, 1)
	go func() { done <- a.Call(context.Background(), b.Addr(), "test.hang", nil, nil) }()
	<-entered
	require.NoError(t, b.Close())
	require.Equal(t, errs.Timeout, errs.CodeOf(<-done))
}

// TestCancelledHandlerReturnsTimeout checks the code of a cancelled handler's error.
// A closing node cancels its handlers before it closes its links, so the response may
// still arrive.
func TestCancelledHandlerReturnsTimeout(t *testing.T) {
	for name, wrap := range map[string]func(error) error{
		"plain":   func(err error) error { return err },
		"wrapped": func(err error) error { return errs.Wrap(err, "hang", "") },
	} {
		t.Run(name, func(t *testing.T) {
			a, b := startNode(t, nil), startNode(t, nil)
			entered := make(chan struct{})
			b.Handle("test.hang", func(ctx context.Context, _ json.RawMessage) (any, error) {
				close(entered)
				<-ctx.Done()
				return nil, wrap(ctx.Err())
			})
			done := make(chan error, 1)
			go func() { done <- a.Call(context.Background(), b.Addr(), "test.hang", nil, nil) }()
			<-entered
			b.cancel()
			require.Equal(t, errs.Timeout, errs.CodeOf(<-done))
		})
	}
}

func TestHandlerReceivesCallerDeadline(t *testing.T) {
	a, b := startNode(t, nil), startNode(t, nil)
	seen := make(chan time.Duration, 1)
	b.Handle("test.deadline", func(ctx context.Context, _ json.RawMessage) (any, error) {
		deadline, _ := ctx.Deadline()
		seen <- time.Until(deadline)
		return api.Empty{}, nil
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Hour/2)
	defer cancel()
	require.NoError(t, a.Call(ctx, b.Addr(), "test.deadline", nil, nil))
	require.Greater(t, <-seen, DefaultCallTimeout)
}

// requireSecondCallRefused requires that a call from a to b fails with errs.Full
// while another one is in progress.
func requireSecondCallRefused(t *testing.T, a, b *Node) {
	t.Helper()
	entered, leave := make(chan struct{}), make(chan struct{})
	b.Handle("test.hold", func(context.Context, json.RawMessage) (any, error) {
		close(entered)
		<-leave
		return api.Empty{}, nil
	})
	done := make(chan error, 1)
	go func() { done <- a.Call(context.Background(), b.Addr(), "test.hold", nil, nil) }()
	<-entered
	require.Equal(t, errs.Full, errs.CodeOf(a.Call(t.Context(), b.Addr(), methodEcho, echo{}, nil)))
	close(leave)
	require.NoError(t, <-done)
}

func TestWorkersAreBounded(t *testing.T) {
	a := startNode(t, nil)
	b := startNode(t, func(c *Config) { c.Workers = 1 })
	requireSecondCallRefused(t, a, b)
	require.Equal(t, int64(1), b.Stats().WorkersFull)
}

func TestCallsInFlightAreBounded(t *testing.T) {
	a := startNode(t, func(c *Config) { c.InFlight = 1 })
	b := startNode(t, nil)
	requireSecondCallRefused(t, a, b)
}

func TestIdleLinksAreKeptAlive(t *testing.T) {
	idle := func(c *Config) { c.IdleTimeout = 60 * time.Millisecond }
	a, b := startNode(t, idle), startNode(t, idle)
	require.NoError(t, a.Call(t.Context(), b.Addr(), methodEcho, echo{}, nil))
	before := b.Stats().ReceivedMessages
	require.Eventually(t, func() bool { return b.Stats().ReceivedMessages >= before+3 }, waitFor, pollInterval)
}

// TestOneWayLinksAreKeptAlive checks that a link stays open for many idle timeouts if
// it carries only notifications, which have no responses.
func TestOneWayLinksAreKeptAlive(t *testing.T) {
	idle := func(c *Config) { c.IdleTimeout = 60 * time.Millisecond }
	a, b := startNode(t, idle), startNode(t, idle)
	b.Handle("test.note", Typed(func(context.Context, echo) (api.Empty, error) { return api.Empty{}, nil }))
	require.NoError(t, a.Call(t.Context(), b.Addr(), methodEcho, echo{}, nil))
	require.Equal(t, int64(1), a.Stats().Dials)
	require.Never(t, func() bool {
		return a.Notify(b.Addr(), "test.note", echo{}) != nil || a.Stats().Dials > 1
	}, 600*time.Millisecond, pollInterval)
}

func TestSettingsAreChecked(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"short secret": func(c *Config) { c.Secret = []byte("short") },
		"small frame":  func(c *Config) { c.MaxFrame = 8 },
		"small queue":  func(c *Config) { c.QueueBytes = 8 },
	} {
		t.Run(name, func(t *testing.T) {
			cfg := Config{Address: "127.0.0.1:0", Secret: testSecret}
			change(&cfg)
			_, err := Start(cfg)
			require.Equal(t, errs.Invalid, errs.CodeOf(err))
		})
	}
	b := startNode(t, nil)
	_, err := Start(Config{Address: b.Addr(), Secret: testSecret})
	require.Error(t, err)
}

// slowConn is a connection that counts closes but never closes.
type slowConn struct {
	gnet.Conn
	closes int
}

func (c *slowConn) Close() error {
	c.closes++
	return nil
}

// TestTimeoutIsCountedOnce checks the deadlines of a link repeatedly before the event
// loop has closed it.
func TestTimeoutIsCountedOnce(t *testing.T) {
	n := startNode(t, nil)
	conn := &slowConn{}
	l := newLink(n, false, "silent")
	l.attach(conn)
	t.Cleanup(l.cancel)
	late := l.opened.Add(2 * n.cfg.HandshakeTimeout)
	for range 3 {
		l.checkDeadlines(late)
	}
	require.Equal(t, int64(1), n.Stats().HandshakeFailures)
	require.Equal(t, 1, conn.closes)
}

// TestLinkUsesConfiguredSource checks the source address of a dialed link.
func TestLinkUsesConfiguredSource(t *testing.T) {
	a := startNode(t, func(c *Config) { c.Source = "127.0.0.9" })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	require.Error(t, a.Notify(ln.Addr().String(), methodEcho, echo{}))
	conn, err := ln.Accept()
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.Equal(t, "127.0.0.9", conn.RemoteAddr().(*net.TCPAddr).IP.String())
	_, err = Start(Config{Address: "127.0.0.1:0", Secret: testSecret, Source: "127.0.0.9:1"})
	require.Equal(t, errs.Invalid, errs.CodeOf(err))
}

// TestTickKeepsTargetInUse guards against a second link to a peer whose target is removed
// between the call that finds it and the dial.
func TestTickKeepsTargetInUse(t *testing.T) {
	n := startNode(t, nil)
	now := n.cfg.Clock.Now()
	created := n.target("127.0.0.1:1")
	n.tick(now)
	require.True(t, created == n.target("127.0.0.1:1"), "a new target")
	n.tick(now.Add(2 * targetRetention))
	require.False(t, created == n.target("127.0.0.1:1"), "a target without calls for longer than the retention")
}

// stepClock is a clock that moves only by advance.
type stepClock struct{ ns atomic.Int64 }

func newStepClock() *stepClock {
	c := &stepClock{}
	c.ns.Store(time.Now().UnixNano())
	return c
}

func (c *stepClock) Now() time.Time { return time.Unix(0, c.ns.Load()) }

func (c *stepClock) advance(d time.Duration) { c.ns.Add(int64(d)) }

// TestIdleTimeoutSparesLinkWithUnreadData guards against links that are closed after a pause
// of the process, although the peer has sent data meanwhile.
func TestIdleTimeoutSparesLinkWithUnreadData(t *testing.T) {
	clock := newStepClock()
	a, b := startNode(t, func(c *Config) { c.Clock = clock }), startNode(t, nil)
	entered, answer := make(chan struct{}), make(chan struct{})
	b.Handle("test.wait", Typed(func(context.Context, echo) (api.Empty, error) {
		close(entered)
		<-answer
		return api.Empty{}, nil
	}))
	result := make(chan error, 1)
	require.NoError(t, a.Call(t.Context(), b.Addr(), methodEcho, echo{}, nil))
	go func() { result <- a.Call(t.Context(), b.Addr(), "test.wait", echo{}, nil) }()
	<-entered
	l := a.target(b.Addr()).open()
	blocked, resume := make(chan struct{}), make(chan struct{})
	require.NoError(t, l.conn.Wake(func(gnet.Conn, error) error { close(blocked); <-resume; return nil }))
	<-blocked
	sent := b.Stats().SentBytes
	close(answer)
	require.Eventually(t, func() bool { return b.Stats().SentBytes > sent }, waitFor, pollInterval)
	clock.advance(2 * DefaultIdleTimeout)
	a.tick(clock.Now())
	close(resume)
	require.NoError(t, <-result)
	require.NoError(t, a.Call(t.Context(), b.Addr(), methodEcho, echo{}, nil))
	require.Equal(t, int64(1), a.Stats().Dials)
}

// TestWakeUpsAreNoSignOfLife guards against a link to a silent peer that its own sender keeps
// open.
func TestWakeUpsAreNoSignOfLife(t *testing.T) {
	clock := newStepClock()
	a, b := startNode(t, func(c *Config) { c.Clock = clock }), startNode(t, nil)
	require.NoError(t, a.Call(t.Context(), b.Addr(), methodEcho, echo{}, nil))
	l := a.target(b.Addr()).open()
	read := l.lastReadAt.Load()
	clock.advance(time.Second)
	l.refreshBuffered()
	require.Eventually(t, func() bool { return !l.refreshing.Load() }, waitFor, pollInterval)
	require.Equal(t, read, l.lastReadAt.Load())
}
