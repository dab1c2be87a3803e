package standin

import (
	"net"
	"sync"
)

// hostConn is a connection together with the host that accepted it.
type hostConn struct {
	net.Conn
	host *Host
	once sync.Once
}

// Close implements net.Conn and removes the connection from its host.
func (c *hostConn) Close() error {
	c.once.Do(func() { c.host.removeConn(c) })
	return c.Conn.Close()
}

// mergedListener is a net.Listener that merges the listeners of all hosts, so
// that one HTTP server serves them.
type mergedListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newMergedListener() *mergedListener {
	return &mergedListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept implements net.Listener.
func (f *mergedListener) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (f *mergedListener) Close() error {
	f.once.Do(func() { close(f.done) })
	return nil
}

// Addr implements net.Listener. The port is 0: each host has its own address.
func (f *mergedListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// serve accepts connections on the listener of one host until it is closed.
func (f *mergedListener) serve(ln net.Listener, h *Host) {
	for {
		raw, err := ln.Accept()
		if err != nil {
			return
		}
		c := &hostConn{Conn: raw, host: h}
		if !h.addConn(c) {
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
