package intake

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// exhausted is a listener of a process without descriptors.
type exhausted struct {
	net.Listener
	failures int
	err      error
}

func (l *exhausted) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, l.err
	}
	return l.Listener.Accept()
}

func TestServerOutlivesTheLackOfDescriptors(t *testing.T) {
	for _, lack := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		server := NewServer(Config{Handler: WithBody(AtMost(1), time.Second, RefusePlain, nil)})
		ln := &listener{
			Listener: &exhausted{Listener: inner, failures: 3, err: &net.OpError{Op: "accept", Err: lack}}, server: server,
		}
		go func() {
			conn, err := net.Dial("tcp", inner.Addr().String())
			if err == nil {
				t.Cleanup(func() { _ = conn.Close() })
			}
		}()
		conn, err := ln.Accept()
		require.NoError(t, err, lack)
		require.NoError(t, conn.Close())
		require.NoError(t, inner.Close())
		_, err = ln.Accept()
		require.ErrorIs(t, err, net.ErrClosed)
	}
}

// pipeConn is a connection of an account without a server that reads it.
func pipeConn(t *testing.T, a *Account) *Conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	c := &Conn{Conn: near, server: NewServer(Config{Account: a}), buffer: usualBuffer, since: time.Now()}
	require.NoError(t, a.open(c))
	return c
}

// charged returns a connection in a state that holds n bytes more than an idle one.
func charged(t *testing.T, a *Account, s state, n int64) *Conn {
	t.Helper()
	c := pipeConn(t, a)
	require.NoError(t, a.enter(c, s))
	require.NoError(t, a.charge(c, n))
	return c
}

func newTestAccount(limit int64) *Account { return NewAccount(limit*accountFraction, 1000) }

// closeWhenTold closes connections as their goroutines do.
func closeWhenTold(a *Account, conns ...*Conn) {
	go func() {
		for until := time.Now().Add(waitFor); time.Now().Before(until); time.Sleep(time.Millisecond) {
			for _, c := range conns {
				a.mu.Lock()
				told := c.told
				a.mu.Unlock()
				if told {
					a.close(c)
				}
			}
		}
	}()
}

func TestLargeRequestsLeaveTheReserve(t *testing.T) {
	a := newTestAccount(8 << 20)
	charged(t, a, stateBusy, 5<<20)
	large := pipeConn(t, a)
	require.ErrorIs(t, a.charge(large, 2<<20), ErrOverloaded, "running requests don't yield")
	for range 10 {
		charged(t, a, stateHead, 32<<10)
	}
}

func TestLargestReaderYields(t *testing.T) {
	a := newTestAccount(8 << 20)
	small := charged(t, a, stateBody, 1<<20)
	large := charged(t, a, stateBody, 3<<20)
	running := charged(t, a, stateBusy, 1<<20)
	closeWhenTold(a, small, large, running)
	charged(t, a, stateBody, 2<<20)
	require.True(t, large.told)
	require.False(t, small.told)
	require.False(t, running.told)
}

func TestLargestReaderIsRefusedItself(t *testing.T) {
	a := newTestAccount(8 << 20)
	for range 5 {
		charged(t, a, stateBody, 1<<20)
	}
	c := charged(t, a, stateBody, 900<<10)
	require.ErrorIs(t, a.charge(c, 1<<20), ErrOverloaded)
}

func TestIdleConnectionsYieldToSmallRequests(t *testing.T) {
	a := newTestAccount(1 << 20)
	oldest := charged(t, a, stateIdle, 64<<10)
	var others []*Conn
	for a.Usage().Bytes+(72<<10) <= a.limit {
		others = append(others, charged(t, a, stateIdle, 64<<10))
	}
	closeWhenTold(a, append(others, oldest)...)
	charged(t, a, stateHead, 32<<10)
	require.True(t, oldest.told)
}

func TestToldConnectionHandlesNothing(t *testing.T) {
	a := newTestAccount(8 << 20)
	c := charged(t, a, stateBody, 1<<20)
	a.mu.Lock()
	a.yield(c)
	a.mu.Unlock()
	require.ErrorIs(t, a.enter(c, stateBusy), ErrOverloaded)
	require.ErrorIs(t, a.charge(c, 1), ErrOverloaded)
	a.close(c)
	a.close(c)
	require.Equal(t, Usage{Yields: 1}, a.Usage())
	require.Zero(t, a.told)
	require.Zero(t, a.yielding)
}
