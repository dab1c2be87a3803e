package network

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// end is one end of a connection; received lines are sent to a channel.
type end struct {
	conn  net.Conn
	lines chan string
}

func newEnd(t *testing.T, conn net.Conn) *end {
	e := &end{conn: conn, lines: make(chan string, 64)}
	t.Cleanup(func() { _ = conn.Close() })
	go func() {
		defer close(e.lines)
		for scanner := bufio.NewScanner(conn); scanner.Scan(); {
			e.lines <- scanner.Text()
		}
	}()
	return e
}

func (e *end) send(t *testing.T, line string) {
	t.Helper()
	_, err := e.conn.Write([]byte(line + "\n"))
	require.NoError(t, err)
}

// pair returns the two ends of a connection from a to b.
func pair(t *testing.T) (n *Network, a, b *end) {
	t.Helper()
	n = New()
	t.Cleanup(n.Close)
	from, err := n.Join("a")
	require.NoError(t, err)
	to, err := n.Join("b")
	require.NoError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	n.Connect("b", ln.Addr().String())
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from.Source)}}
	conn, err := dialer.Dial("tcp", to.Address)
	require.NoError(t, err)
	accepted, err := ln.Accept()
	require.NoError(t, err)
	return n, newEnd(t, conn), newEnd(t, accepted)
}

// TestCutBlocksOneDirection checks that a cut blocks only its direction, that the
// connection stays open, and that blocked data arrives in order after Heal.
func TestCutBlocksOneDirection(t *testing.T) {
	n, a, b := pair(t)
	n.Cut(Path{From: "a", To: "b"})
	a.send(t, "one")
	a.send(t, "two")
	b.send(t, "back")
	require.Equal(t, "back", <-a.lines)
	require.Empty(t, b.lines)
	n.Heal(Path{From: "a", To: "b"})
	require.Equal(t, "one", <-b.lines)
	require.Equal(t, "two", <-b.lines)
}

func TestIsolateCutsBothDirections(t *testing.T) {
	n, a, b := pair(t)
	n.Isolate("b")
	a.send(t, "there")
	b.send(t, "back")
	require.Empty(t, a.lines)
	require.Empty(t, b.lines)
	n.Heal()
	require.Equal(t, "there", <-b.lines)
	require.Equal(t, "back", <-a.lines)
}

func TestDelayPreservesOrder(t *testing.T) {
	n, a, b := pair(t)
	n.Delay(time.Millisecond, Between("a", "b")...)
	for _, line := range []string{"one", "two", "three"} {
		a.send(t, line)
	}
	for _, line := range []string{"one", "two", "three"} {
		require.Equal(t, line, <-b.lines)
	}
}

func TestResetClosesTheConnection(t *testing.T) {
	n, a, b := pair(t)
	n.Cut(Between("a", "b")...)
	a.send(t, "lost")
	b.send(t, "lost")
	n.Reset(Path{From: "b", To: "a"})
	_, open := <-a.lines
	require.False(t, open)
	_, open = <-b.lines
	require.False(t, open)
}

func TestUnknownSourceIsClosed(t *testing.T) {
	n, _, _ := pair(t)
	to, err := n.Join("c")
	require.NoError(t, err)
	conn, err := net.Dial("tcp", to.Address)
	require.NoError(t, err)
	_, open := <-newEnd(t, conn).lines
	require.False(t, open)
	_, err = n.Join("c")
	require.ErrorContains(t, err, "name taken")
}
