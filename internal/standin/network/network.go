// Package network simulates the network between daemons on loopback, so that
// tests and experiments can cut and delay it per pair and direction. It listens
// on a proxy address for each daemon, and identifies the dialing daemon by its
// source address, which is unique to each.
package network

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/errs"
)

// maxMembers is the maximum number of daemons in one network: the source address
// of each differs in the last byte.
const maxMembers = 250

// Path is one direction of the traffic between two daemons.
type Path struct {
	From string
	To   string
}

// Between returns the paths in both directions between a daemon and each of the
// others.
func Between(name string, others ...string) []Path {
	paths := make([]Path, 0, 2*len(others))
	for _, other := range others {
		paths = append(paths, Path{From: name, To: other}, Path{From: other, To: name})
	}
	return paths
}

// Member holds the addresses that a daemon must be configured with.
type Member struct {
	// Source is the IP from which the daemon must dial.
	Source string
	// Address is the "ip:port" at which the other daemons reach it.
	Address string
}

// member is one daemon with its proxy listener.
type member struct {
	name     string
	source   netip.Addr
	listener net.Listener
	// target is the address that the daemon listens on, empty until Connect.
	target string
}

// Network proxies the links between daemons. It is safe for concurrent use.
type Network struct {
	done chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	members map[string]*member
	cut     map[Path]bool
	delays  map[Path]time.Duration
	links   map[*link]struct{}
	// healed is closed and replaced when a path is healed.
	healed chan struct{}
}

// New returns a network without members. The caller must Close it.
func New() *Network {
	return &Network{
		done:    make(chan struct{}),
		members: make(map[string]*member),
		cut:     make(map[Path]bool),
		delays:  make(map[Path]time.Duration),
		links:   make(map[*link]struct{}),
		healed:  make(chan struct{}),
	}
}

// Join adds a daemon and returns its addresses. Connections to it fail until
// Connect.
func (n *Network) Join(name string) (Member, error) {
	const step = "join the network"
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return Member{}, errs.New(errs.Unavailable, step, name, "network is closed")
	}
	if _, ok := n.members[name]; ok || len(n.members) == maxMembers {
		return Member{}, errs.New(errs.Invalid, step, name, "name taken or %d members reached", maxMembers)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Member{}, errs.Wrap(err, step, name)
	}
	m := &member{name: name, source: netip.AddrFrom4([4]byte{127, 1, 0, byte(len(n.members) + 1)}), listener: ln}
	n.members[name] = m
	n.wg.Go(func() { n.accept(m) })
	return Member{Source: m.source.String(), Address: ln.Addr().String()}, nil
}

// Connect sets the address that a daemon listens on.
func (n *Network) Connect(name, target string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m, ok := n.members[name]; ok {
		m.target = target
	}
}

// Others returns the names of all members but one.
func (n *Network) Others(name string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	others := make([]string, 0, len(n.members))
	for other := range n.members {
		if other != name {
			others = append(others, other)
		}
	}
	return others
}

// Cut blocks all traffic on the paths. Connections stay open, and the data sent
// meanwhile is delivered after Heal, as with TCP retransmissions.
func (n *Network) Cut(paths ...Path) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range paths {
		n.cut[p] = true
	}
}

// Isolate cuts the paths between a daemon and all others in both directions.
func (n *Network) Isolate(name string) { n.Cut(Between(name, n.Others(name)...)...) }

// Heal unblocks the paths, or all paths if none is given.
func (n *Network) Heal(paths ...Path) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range paths {
		delete(n.cut, p)
	}
	if len(paths) == 0 {
		clear(n.cut)
	}
	close(n.healed)
	n.healed = make(chan struct{})
}

// Delay sets the one-way delay of the paths; 0 removes it.
func (n *Network) Delay(delay time.Duration, paths ...Path) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range paths {
		n.delays[p] = delay
	}
}

// Reset closes every connection that uses one of the paths.
func (n *Network) Reset(paths ...Path) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.links {
		for _, p := range paths {
			if l.uses(p) {
				l.close()
			}
		}
	}
}

// Close closes every connection and waits for the goroutines of the network.
func (n *Network) Close() {
	n.mu.Lock()
	if !n.closed {
		n.closed = true
		close(n.done)
	}
	for _, m := range n.members {
		_ = m.listener.Close()
	}
	for l := range n.links {
		l.close()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

// awaitOpen waits until the path is not cut. It returns false if stop or the
// network is closed first.
func (n *Network) awaitOpen(p Path, stop <-chan struct{}) bool {
	for {
		n.mu.Lock()
		cut, healed := n.cut[p], n.healed
		n.mu.Unlock()
		if !cut {
			return true
		}
		select {
		case <-healed:
		case <-stop:
			return false
		case <-n.done:
			return false
		}
	}
}

func (n *Network) delay(p Path) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delays[p]
}
