package network

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// chunkBytes is the largest number of bytes that travel together.
	chunkBytes = 32 << 10
	// chunksUnderWay bounds the chunks between the two ends of a direction.
	chunksUnderWay = 64
	// dialTimeout bounds the connection to a daemon's own address.
	dialTimeout = 2 * time.Second
)

// link is one connection between two daemons.
type link struct {
	network  *Network
	from, to string
	closed   chan struct{}

	mu sync.Mutex
	// conns are the connections to both daemons; nil after close.
	conns []net.Conn
}

// chunk is a number of bytes and the time at which they arrive.
type chunk struct {
	bytes []byte
	due   time.Time
}

// accept takes the connections to one daemon until the network is closed.
func (n *Network) accept(m *member) {
	for {
		conn, err := m.listener.Accept()
		if err != nil {
			return
		}
		n.wg.Go(func() { n.serve(m, conn) })
	}
}

// serve joins a connection with the daemon that it is for. Connections from
// unknown sources are closed.
func (n *Network) serve(m *member, dialer net.Conn) {
	l := &link{network: n, from: n.nameOf(dialer.RemoteAddr()), to: m.name, closed: make(chan struct{}), conns: []net.Conn{dialer}}
	defer l.close()
	if !n.remember(l) {
		return
	}
	defer n.forget(l)
	if l.from == "" || !n.awaitOpen(Path{From: l.from, To: l.to}, l.closed) {
		return
	}
	target, err := net.DialTimeout("tcp", n.targetOf(m), dialTimeout)
	if err != nil {
		return
	}
	if !l.join(target) {
		_ = target.Close()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.carry(Path{From: l.from, To: l.to}, dialer, target) })
	wg.Go(func() { l.carry(Path{From: l.to, To: l.from}, target, dialer) })
	wg.Wait()
}

// carry moves bytes in one direction until its end is reached, then closes the
// link: daemons never close one direction alone.
func (l *link) carry(p Path, from, to net.Conn) {
	chunks := make(chan chunk, chunksUnderWay)
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

// join adds the connection to the target. It reports false on a closed link.
func (l *link) join(target net.Conn) bool {
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

func (n *Network) remember(l *link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.links[l] = struct{}{}
	return true
}

func (n *Network) forget(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, l)
}

// nameOf returns the daemon that dials from an address, or "".
func (n *Network) nameOf(address net.Addr) string {
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
