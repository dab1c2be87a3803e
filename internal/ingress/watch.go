package ingress

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// callerWatch detects that a caller closes its connection while its request is in
// progress. The HTTP library can't: it does not read from the connection meanwhile.
type callerWatch struct {
	conn net.Conn
	done chan struct{}
}

// watchCaller calls left once the connection ends. It returns nil for a connection
// that can't be watched.
func watchCaller(conn net.Conn, left func()) *callerWatch {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := source.SyscallConn()
	if err != nil {
		return nil
	}
	if err := conn.SetReadDeadline(time.Time{}); err != nil {
		return nil
	}
	w := &callerWatch{conn: conn, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		closed := false
		err := raw.Read(func(fd uintptr) bool {
			var b [1]byte
			n, _, errno := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			if errno == unix.EAGAIN || errno == unix.EINTR {
				return false
			}
			closed = errno != nil || n == 0
			return true
		})
		if err == nil && closed {
			left()
		}
	}()
	return w
}

// stop ends the watch, so that the connection can be read again.
func (w *callerWatch) stop() {
	if w == nil {
		return
	}
	// A deadline in the past ends the wait for the connection.
	_ = w.conn.SetReadDeadline(time.Unix(1, 0))
	<-w.done
	_ = w.conn.SetReadDeadline(time.Time{})
}

// hasCallerLeft reports whether the caller of a request closed its connection.
func hasCallerLeft(c *call) bool { return errors.Is(context.Cause(c.ctx), errCallerLeft) }
