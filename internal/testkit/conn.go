package testkit

import (
	"context"
	"net"
	"sync"
)

// DialWriteFirst dials connections of one request each that report an error to the write of the
// request, never to a read: all reads but the first wait until the write has met it. The write
// then returns only after a read has failed.
func DialWriteFirst(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &writeFirstConn{Conn: c, written: make(chan struct{}), readEnded: make(chan struct{})}, nil
}

type writeFirstConn struct {
	net.Conn
	reads              int
	write, read        sync.Once
	written, readEnded chan struct{}
}

func (c *writeFirstConn) Read(p []byte) (int, error) {
	if c.reads++; c.reads > 1 {
		<-c.written
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		c.read.Do(func() { close(c.readEnded) })
	}
	return n, err
}

func (c *writeFirstConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.write.Do(func() { close(c.written) })
	<-c.readEnded
	return n, err
}
