package pipeline

import "sync"

// activeCalls counts the calls in progress. Unlike sync.WaitGroup it allows
// calls to begin while another goroutine waits.
type activeCalls struct {
	mu   sync.Mutex
	idle *sync.Cond
	n    int
}

func newActiveCalls() *activeCalls {
	a := &activeCalls{}
	a.idle = sync.NewCond(&a.mu)
	return a
}

// begin counts a call in.
func (a *activeCalls) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.n++
}

// done counts a call out.
func (a *activeCalls) done() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.n--
	if a.n == 0 {
		a.idle.Broadcast()
	}
}

// wait returns at a moment without calls.
func (a *activeCalls) wait() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.n > 0 {
		a.idle.Wait()
	}
}
