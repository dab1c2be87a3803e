package standin

import (
	"net"
	"sync"
)

// hostConn is a connection that knows which host it reached.
type hostConn struct {
	net.Conn
	host *Host
	once sync.Once
}

// Close implements net.Conn and forgets the connection.
func (c *hostConn) Close() error {
	c.once.Do(func() { c.host.forget(c) })
	return c.Conn.Close()
}

// fanIn is a net.Listener that merges the listeners of all hosts, so that one
// HTTP server serves them.
type fanIn struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newFanIn() *fanIn {
	return &fanIn{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (f *fanIn) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (f *fanIn) Close() error {
	f.once.Do(func() { close(f.done) })
	return nil
}

// Addr implements net.Listener; the merged listeners have their own.
func (f *fanIn) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// serve accepts on the listener of one host until it is closed.
func (f *fanIn) serve(ln net.Listener, h *Host) {
	for {
		raw, err := ln.Accept()
		if err != nil {
			return
		}
		c := &hostConn{Conn: raw, host: h}
		if !h.remember(c) {
			_ = raw.Close()
			continue
		}
		select {
		case f.conns <- c:
		case <-f.done:
			_ = c.Close()
			return
		}
	}
}
