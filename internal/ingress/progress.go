package ingress

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"
)

// progress holds the requests in progress by connection: from their first byte until the last
// byte of the answer has been written, which the HTTP library does after the handler has
// returned. It is safe for concurrent use.
type progress struct {
	mu       sync.Mutex
	requests map[net.Conn]*inProgress
	// closed is set once no request is admitted any more.
	closed bool
	// idle is closed when no request is in progress; nil while nobody waits for that.
	idle chan struct{}
}

// inProgress is a request in progress.
type inProgress struct {
	id       string
	route    string
	received time.Time
	deadline time.Time
	cancel   context.CancelCauseFunc
	stage    stage
	// buffered is what the answer takes of Server.answers until it has been written.
	buffered int
}

// stage tells what a request waits for.
type stage string

const (
	stageReading stage = "reading" // the rest of the request
	stageRunning stage = "running" // an answer
	stageSending stage = "sending" // the caller, who has not taken the whole answer
)

func newProgress() *progress { return &progress{requests: make(map[net.Conn]*inProgress)} }

// arrive records the first byte of a request.
func (p *progress) arrive(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests[conn] = &inProgress{received: time.Now(), stage: stageReading}
}

// begin records that a request has been read and reports whether it is admitted. A request that is not is
// recorded too, for the time that its refusal takes.
func (p *progress) begin(conn net.Conn, received time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests[conn] = &inProgress{received: received, stage: stageRunning}
	return !p.closed
}

// describe records what a request is.
func (p *progress) describe(c *call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.requests[c.http.Conn()]; r != nil {
		r.id, r.route, r.deadline, r.cancel = c.head.ID, c.route.Name, c.deadline, c.cancel
	}
}

// setSending records that only the rest of an answer is to be written, which takes this many
// bytes. It reports false if the request is not in progress.
func (p *progress) setSending(conn net.Conn, buffered int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.requests[conn]
	if r != nil {
		r.stage, r.buffered = stageSending, buffered
	}
	return r != nil
}

// byAge returns copies of the requests in progress, the oldest first.
func (p *progress) byAge() []inProgress {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]inProgress, 0, len(p.requests))
	for _, r := range p.requests {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b inProgress) int { return a.received.Compare(b.received) })
	return out
}

// end removes the request of a connection, if there is one, and returns the bytes that its
// answer took.
func (p *progress) end(conn net.Conn) (buffered int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.requests[conn]; r != nil {
		buffered = r.buffered
	}
	delete(p.requests, conn)
	if len(p.requests) == 0 && p.idle != nil {
		p.closed = true
		close(p.idle)
		p.idle = nil
	}
	return buffered
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
