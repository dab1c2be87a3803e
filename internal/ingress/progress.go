package ingress

import (
	"context"
	"net"
	"sync"
	"time"
)

// progress holds the requests in progress by connection: from the call of the handler until
// the last byte of the answer has been written, which the HTTP library does after the handler
// has returned. It is safe for concurrent use.
type progress struct {
	mu       sync.Mutex
	requests map[net.Conn]time.Time
	// closed is set once no request is admitted any more.
	closed bool
	// idle is closed when no request is in progress; nil while nobody waits for that.
	idle chan struct{}
}

func newProgress() *progress { return &progress{requests: make(map[net.Conn]time.Time)} }

// begin records a request and reports whether it is admitted. A request that is not is
// recorded too, for the time that its refusal takes.
func (p *progress) begin(conn net.Conn, received time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests[conn] = received
	return !p.closed
}

// end removes the request of a connection, if there is one.
func (p *progress) end(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.requests, conn)
	if len(p.requests) == 0 && p.idle != nil {
		p.closed = true
		close(p.idle)
		p.idle = nil
	}
}

func (p *progress) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.requests)
}

// drain waits until no request is in progress or ctx ends. From then on no request is
// admitted.
func (p *progress) drain(ctx context.Context) {
	select {
	case <-p.awaitIdle():
	case <-ctx.Done():
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closed = true
	}
}

// awaitIdle returns a channel that is closed, together with the admission, when no request is
// in progress.
func (p *progress) awaitIdle() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle
	if idle == nil {
		idle = make(chan struct{})
	}
	if len(p.requests) == 0 {
		p.closed = true
		close(idle)
		return idle
	}
	p.idle = idle
	return idle
}
