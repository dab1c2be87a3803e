package network

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// chunkBytes is the maximum size of a chunk.
	chunkBytes = 32 << 10
	// maxChunksInFlight is the maximum number of chunks in transit per direction of
	// a link.
	maxChunksInFlight = 64
	// dialTimeout limits connecting to the address that a daemon listens on.
	dialTimeout = 2 * time.Second
)

// link is one proxied connection between two daemons.
type link struct {
	network  *Network
	from, to string
	closed   chan struct{}

	mu sync.Mutex
	// conns are the connections to the two daemons; nil after close.
	conns []net.Conn
}

// chunk is a piece of the byte stream and the time at which to deliver it.
type chunk struct {
	bytes []byte
	due   time.Time
}

// accept accepts the connections to one daemon until the network is closed.
func (n *Network) accept(m *member) {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		n.wg.Go(func() { n.serve(m, conn) })
	}
}

// serve proxies a connection to the daemon that it is for. Connections from
// unknown source addresses are closed.
func (n *Network) serve(m *member, dialer net.Conn) {
	l := &link{network: n, from: n.memberOf(dialer.RemoteAddr()), to: m.name, closed: make(chan struct{}), conns: []net.Conn{dialer}}
	defer l.close()
	if !n.addLink(l) {
		return
	}
	defer n.removeLink(l)
	if l.from == "" || !n.awaitOpen(Path{From: l.from, To: l.to}, l.closed) {
		return
	}
	target, err := net.DialTimeout("tcp", n.targetOf(m), dialTimeout)
	if err != nil {
		return
	}
	if !l.addTarget(target) {
		_ = target.Close()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.forward(Path{From: l.from, To: l.to}, dialer, target) })
	wg.Go(func() { l.forward(Path{From: l.to, To: l.from}, target, dialer) })
	wg.Wait()
}

// forward copies bytes in one direction until EOF or an error, then closes the
// link: daemons never half-close a connection.
func (l *link) forward(p Path, from, to net.Conn) {
	chunks := make(chan chunk, maxChunksInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer l.close()
	wg.Go(func() { l.read(p, from, chunks) })
	for c := range chunks {
		if !l.awaitDue(c.due) || !l.network.awaitOpen(p, l.closed) {
			return
		}
		if _, err := to.Write(c.bytes); err != nil {
			return
		}
	}
}

func (l *link) read(p Path, from net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	for {
		buffer := make([]byte, chunkBytes)
		size, err := from.Read(buffer)
		if err != nil {
			return
		}
		select {
		case chunks <- chunk{bytes: buffer[:size], due: time.Now().Add(l.network.delay(p))}:
		case <-l.closed:
			return
		}
	}
}

func (l *link) awaitDue(due time.Time) bool {
	left := time.Until(due)
	if left <= 0 {
		return true
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.closed:
		return false
	}
}

func (l *link) uses(p Path) bool {
	return p == Path{From: l.from, To: l.to} || p == Path{From: l.to, To: l.from}
}

// addTarget adds the connection to the target. It returns false if the link is
// closed.
func (l *link) addTarget(target net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		return false
	}
	l.conns = append(l.conns, target)
	return true
}

func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		return
	}
	close(l.closed)
	for _, conn := range l.conns {
		_ = conn.Close()
	}
	l.conns = nil
}

func (n *Network) addLink(l *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.links[l] = struct{}{}
	return true
}

func (n *Network) removeLink(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, l)
}

// memberOf returns the name of the daemon with the given source address, or "".
func (n *Network) memberOf(address net.Addr) string {
	source, err := netip.ParseAddrPort(address.String())
	if err != nil {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, m := range n.members {
		if m.source == source.Addr().Unmap() {
			return name
		}
	}
	return ""
}

func (n *Network) targetOf(m *member) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return m.target
}
