package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
)

// target is a peer address to which calls are sent, with its current link.
type target struct {
	node    *Node
	address string

	mu        sync.Mutex
	current   *link
	attempt   *attempt
	lastErr   error
	notBefore time.Time
	backoff   *backoff.ExponentialBackOff
	usedAt    time.Time
}

// attempt is one connection attempt that calls wait for.
type attempt struct {
	done chan struct{}
	link *link
	err  error
}

func newTarget(n *Node, address string) *target {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = n.cfg.BackoffMin
	b.MaxInterval = n.cfg.BackoffMax
	b.Reset()
	return &target{node: n, address: address, backoff: b}
}

// link returns the open link and connects if there is none. During a backoff pause
// it fails immediately with the last error.
func (t *target) link(ctx context.Context) (*link, error) {
	a, l, err := t.linkOrAttempt()
	if l != nil || err != nil {
		return l, err
	}
	select {
	case <-a.done:
		return a.link, a.err
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for the link")
	}
}

// linkOrAttempt returns the open link, or else the connection attempt in progress,
// which it starts if needed.
func (t *target) linkOrAttempt() (*attempt, *link, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.node.cfg.Clock.Now()
	if t.current != nil && !t.current.isClosed() {
		return nil, t.current, nil
	}
	t.current = nil
	if t.attempt != nil {
		return t.attempt, nil, nil
	}
	if now.Before(t.notBefore) {
		return nil, nil, errors.Wrap(t.lastErr, "waiting to reconnect")
	}
	a := &attempt{done: make(chan struct{})}
	if !t.node.startTask(func() { t.run(a) }) {
		return nil, nil, errNodeClosed
	}
	t.attempt = a
	return a, nil, nil
}

// run makes one connection attempt and publishes the result.
func (t *target) run(a *attempt) {
	a.link, a.err = t.node.connect(t.address)
	t.mu.Lock()
	t.attempt = nil
	if a.err != nil {
		t.lastErr = a.err
		t.notBefore = t.node.cfg.Clock.Now().Add(t.backoff.NextBackOff())
	} else {
		t.current = a.link
		t.backoff.Reset()
	}
	t.mu.Unlock()
	close(a.done)
}

// open returns the open link without connecting, or nil.
func (t *target) open() *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current == nil || t.current.isClosed() {
		return nil
	}
	return t.current
}

// touch records that the target is in use.
func (t *target) touch(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.usedAt = now
}

// unused reports whether the target has no link and no recent call.
func (t *target) unused(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.attempt != nil || (t.current != nil && !t.current.isClosed()) {
		return false
	}
	return now.Sub(t.usedAt) > targetRetention
}

// targetRetention is how long an unused target and its backoff are kept.
const targetRetention = time.Minute

// connect dials address and waits for the handshake.
func (n *Node) connect(address string) (*link, error) {
	n.counters.dials.Add(1)
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.DialTimeout)
	defer cancel()
	var dialer net.Dialer
	if n.cfg.Source != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(n.cfg.Source)}
	}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	l := newLink(n, true, address)
	// gnet duplicates the file descriptor and closes conn.
	if _, err = n.client.EnrollContext(conn, l); err != nil {
		l.cancel()
		return nil, errors.Wrap(err, "register connection with the event loop")
	}
	select {
	case <-l.established:
		return l, nil
	case <-l.disconnected:
		return nil, errors.Wrap(errHandshake, "link closed")
	case <-n.ctx.Done():
		return nil, errNodeClosed
	}
}
