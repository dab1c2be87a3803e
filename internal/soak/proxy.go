package soak

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/clock"
)

// network forwards the links between daemons. Each daemon advertises an address of the
// network, which forwards to the port that the daemon listens on. It is safe for
// concurrent use.
type network struct {
	mu      sync.Mutex
	rules   map[direction]rule
	changed chan struct{}
	links   map[*proxiedLink]struct{}
	wg      sync.WaitGroup
	ctx     context.Context
	cancel  context.CancelFunc
}

// direction is the path of bytes from one daemon's IP to another's.
type direction struct{ from, to string }

// rule is what happens to bytes on a direction.
type rule struct {
	silent bool
	delay  time.Duration
	// part bounds the bytes that pass at once, 0: without a bound.
	part int
}

// proxiedLink is one forwarded connection.
type proxiedLink struct {
	dialer, acceptor string
	conns            [2]net.Conn
}

const (
	// proxyBuffer is the size of one forwarded part, in bytes.
	proxyBuffer      = 64 << 10
	proxyDialTimeout = time.Second
)

func newNetwork() *network {
	ctx, cancel := context.WithCancel(context.Background())
	return &network{
		rules: make(map[direction]rule), changed: make(chan struct{}), links: make(map[*proxiedLink]struct{}), ctx: ctx, cancel: cancel,
	}
}

// forward accepts links at advertised and forwards them to listen, both "ip:port".
func (n *network) forward(advertised, listen string) error {
	return n.forwardLinks(advertised, listen, (*proxiedLink).close)
}

// forwardLinks calls sent once a dialer has sent its last bytes.
func (n *network) forwardLinks(advertised, listen string, sent func(*proxiedLink)) error {
	ln, err := net.Listen("tcp", advertised)
	if err != nil {
		return err
	}
	context.AfterFunc(n.ctx, func() { _ = ln.Close() })
	ip, _, err := net.SplitHostPort(advertised)
	if err != nil {
		return err
	}
	n.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			n.wg.Go(func() { n.serve(c, ip, listen, sent) })
		}
	})
	return nil
}

func (n *network) serve(dialer net.Conn, acceptorIP, listen string, sent func(*proxiedLink)) {
	dialerIP, _, _ := net.SplitHostPort(dialer.RemoteAddr().String())
	// A connection attempt across a cut hangs, as it does between hosts.
	if !n.pass(direction{dialerIP, acceptorIP}) {
		_ = dialer.Close()
		return
	}
	acceptor, err := net.DialTimeout("tcp", listen, proxyDialTimeout)
	if err != nil {
		reset(dialer)
		return
	}
	l := &proxiedLink{dialer: dialerIP, acceptor: acceptorIP, conns: [2]net.Conn{dialer, acceptor}}
	n.mu.Lock()
	n.links[l] = struct{}{}
	n.mu.Unlock()
	stop := context.AfterFunc(n.ctx, l.close)
	defer stop()
	var both sync.WaitGroup
	both.Go(func() { n.copy(acceptor, dialer, direction{dialerIP, acceptorIP}); sent(l) })
	both.Go(func() { n.copy(dialer, acceptor, direction{acceptorIP, dialerIP}); l.close() })
	both.Wait()
	n.mu.Lock()
	delete(n.links, l)
	n.mu.Unlock()
}

func (l *proxiedLink) close() {
	for _, c := range l.conns {
		_ = c.Close()
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (n *network) copy(to, from net.Conn, d direction) {
	buffer := make([]byte, proxyBuffer)
	for {
		count, err := from.Read(buffer[:n.partOf(d)])
		if count > 0 {
			if !n.pass(d) {
				return
			}
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// partOf returns how many bytes pass at once.
func (n *network) partOf(d direction) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if part := n.rules[d].part; part > 0 {
		return part
	}
	return proxyBuffer
}

// pass waits until bytes may pass. It returns false when the network closes.
func (n *network) pass(d direction) bool {
	for {
		n.mu.Lock()
		r, changed := n.rules[d], n.changed
		n.mu.Unlock()
		if !r.silent {
			if r.delay > 0 {
				clock.Sleep(n.ctx, r.delay)
			}
			return n.ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-n.ctx.Done():
			return false
		}
	}
}

// set replaces the rule of a direction.
func (n *network) set(d direction, r rule) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rules[d] = r
	close(n.changed)
	n.changed = make(chan struct{})
}

// resetLinks resets every link of a daemon.
func (n *network) resetLinks(ip string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		if l.dialer == ip || l.acceptor == ip {
			for _, c := range l.conns {
				reset(c)
			}
		}
	}
}

func (n *network) close() {
	n.cancel()
	n.wg.Wait()
}
