package backend

import (
	"bufio"
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// conn is one connection to a backend server. It serves one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// sent counts the bytes that the kernel accepted for the current request.
	sent      int64
	idleSince time.Time
	// keepAlive is the idle timeout announced by the server less keepAliveMargin, or 0.
	keepAlive time.Duration
}

// Write implements io.Writer and counts the bytes sent.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent += int64(n)
	return n, err
}

// maxHeaderBytes limits the header of a response, in bytes.
const maxHeaderBytes = 16 << 10

// dial connects to a server within the dial timeout.
func (c *Config) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
	defer cancel()
	dial := c.Dial
	if dial == nil {
		dialer := &net.Dialer{}
		if c.Source != nil {
			dialer.LocalAddr = &net.TCPAddr{IP: c.Source}
		}
		dial = dialer.DialContext
	}
	raw, err := dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, maxHeaderBytes)}, nil
}

// alive reports whether an idle connection is open and has nothing to read.
// Unread bytes are part of an earlier response and make a connection unusable.
func (c *conn) alive() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
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
