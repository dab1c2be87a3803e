// Package inflight counts calls in progress, so that a graceful shutdown can wait for
// their end.
package inflight

import "sync"

// Counter counts calls in progress. Unlike sync.WaitGroup it allows calls to begin
// while another goroutine waits.
type Counter struct {
	mu   sync.Mutex
	idle *sync.Cond
	n    int
}

// NewCounter returns a counter at zero.
func NewCounter() *Counter {
	c := &Counter{}
	c.idle = sync.NewCond(&c.mu)
	return c
}

// Begin records the start of a call.
func (c *Counter) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

// Done records the end of a call.
func (c *Counter) Done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n--
	if c.n == 0 {
		c.idle.Broadcast()
	}
}

// Wait blocks until no call is in progress.
func (c *Counter) Wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.n > 0 {
		c.idle.Wait()
	}
}

// Count returns the number of calls in progress.
func (c *Counter) Count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}
