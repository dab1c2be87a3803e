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
	// idle is closed when no request is in progress; nil while nobody waits for that.
	idle chan struct{}
}

func newProgress() *progress { return &progress{requests: make(map[net.Conn]time.Time)} }

// begin records a request.
func (p *progress) begin(conn net.Conn, received time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests[conn] = received
}

// end removes the request of a connection, if there is one.
func (p *progress) end(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.requests, conn)
	if len(p.requests) == 0 && p.idle != nil {
		close(p.idle)
		p.idle = nil
	}
}

func (p *progress) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.requests)
}

// drain waits until no request is in progress or ctx ends.
func (p *progress) drain(ctx context.Context) {
	select {
	case <-p.awaitIdle():
	case <-ctx.Done():
	}
}

// awaitIdle returns a channel that is closed when no request is in progress.
func (p *progress) awaitIdle() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle
	if idle == nil {
		idle = make(chan struct{})
	}
	if len(p.requests) == 0 {
		close(idle)
		return idle
	}
	p.idle = idle
	return idle
}
