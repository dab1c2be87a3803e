package backend

import (
	"bufio"
	"context"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// conn is one connection to a backend server. It serves one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// sent counts the bytes that the kernel accepted for the present request.
	sent    int64
	idledAt time.Time
	// keep is how long the server keeps the connection idle, 0 if it didn't say.
	keep time.Duration
}

// Write implements io.Writer and counts what left.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent += int64(n)
	return n, err
}

// headerBytes bounds the header of an answer, in bytes.
const headerBytes = 16 << 10

func dial(ctx context.Context, address string, timeout time.Duration) (*conn, error) {
	dialer := net.Dialer{Timeout: timeout}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, headerBytes)}, nil
}

// alive reports whether an idle connection is open and silent. A connection
// with unread bytes holds part of an earlier answer and is of no use.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		silent = errno == unix.EAGAIN
		return true
	})
	return err == nil && silent
}
