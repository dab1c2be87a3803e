// Package intake bounds what callers make a process hold. Its servers read requests from
// connections that are charged to one account before memory is allocated for them: for
// what has arrived, never for what a request announces.
//
// When the account is full, connections that hold much of a request that is not complete
// yield to those that hold less, then the connections that have waited longest. A request
// that yields has not been handled.
package intake

import (
	"sync"
	"time"
)

// Costs of a connection in bytes.
const (
	// connCost is what an open connection takes: its goroutine, and the state of the HTTP
	// library.
	connCost = 8 << 10
	// requestCost is what a request takes besides its read buffer, its body and a large
	// head: the context of the HTTP library, the write buffer and further goroutines.
	requestCost = 16 << 10
	// separatorCost is the most that the HTTP library allocates for a header line, a cookie,
	// a query argument or the name of a trailer, each of which ends with a separator.
	separatorCost = 160
	// freeSeparators are those of a usual head, which requestCost covers.
	freeSeparators = 64
)

const (
	// smallExtra is what a request may hold in body and head to count as small, in bytes.
	smallExtra = 64 << 10
	// reservedFraction is the part of the account that only small requests get, so that
	// large ones, which may run for long, never keep them out.
	reservedFraction = 4
	// accountFraction is the part of a process's memory that callers may take. The rest
	// holds answers, the state of the system and what is not collected yet.
	accountFraction = 4
	// callerDescriptors is the part of the descriptors that callers may take. The rest is for
	// connections to backend servers and other daemons, and for files.
	callerDescriptors = 0.6
)

// maxToldFraction is the reciprocal of the part of the connections that may be closing while
// further ones are accepted.
const maxToldFraction = 8

// Connections that yield are closed by their own goroutines. A request waits for them.
const (
	yieldPoll = time.Millisecond
	maxYields = 100
)

// Account counts the connections of callers and the memory that they make the process
// hold, over all its servers. It is safe for concurrent use.
type Account struct {
	mu    sync.Mutex
	limit int64
	// maxConns bounds the open connections.
	maxConns int
	used     int64
	// yielding is the part of used whose connections have been told to close, told the number
	// of these.
	yielding int64
	told     int
	// yields counts the connections that were told so.
	yields int64
	conns  map[*Conn]struct{}
}

// NewAccount returns the account of a process with this memory in bytes and this many
// descriptors.
func NewAccount(memory int64, descriptors int) *Account {
	return &Account{
		limit:    max(memory/accountFraction, minAccount),
		maxConns: max(int(float64(descriptors)*callerDescriptors), 1),
		conns:    make(map[*Conn]struct{}),
	}
}

// minAccount lets a few requests through on any host, in bytes.
const minAccount = 1 << 20

// Usage is the state of an account.
type Usage struct {
	Connections int
	Bytes       int64
	// Yields counts the connections that were closed for others.
	Yields int64
}

// Usage returns what callers hold.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{Connections: len(a.conns), Bytes: a.used, Yields: a.yields}
}

// open adds a connection. It fails if the process has as many as it may open, and none of
// them yields.
func (a *Account) open(c *Conn) error {
	if err := a.retry(func() (bool, bool) {
		// Connections that yield close within moments. More of them than the reserve for
		// other uses bears would use up the descriptors.
		if len(a.conns) >= a.maxConns+max(a.maxConns/maxToldFraction, 1) {
			return false, a.told > 0
		}
		if len(a.conns)-a.told >= a.maxConns && !a.yield(a.longestWaiting()) {
			return false, false
		}
		a.conns[c] = struct{}{}
		return true, true
	}); err != nil {
		return err
	}
	if err := a.charge(c, connCost); err != nil {
		a.close(c)
		return err
	}
	return nil
}

// close removes a connection.
func (a *Account) close(c *Conn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.conns[c]; !ok {
		return
	}
	delete(a.conns, c)
	a.releaseLocked(c, 0)
	if c.told {
		a.told--
	}
}

// charge adds n bytes to what a connection holds, before they are allocated.
func (a *Account) charge(c *Conn, n int64) error {
	return a.retry(func() (bool, bool) {
		if _, isOpen := a.conns[c]; !isOpen || c.told {
			return false, false
		}
		missing := a.used + n - a.limitOf(c, n)
		if missing <= 0 {
			c.held += n
			a.used += n
			return true, true
		}
		for a.yielding < missing {
			if !a.yield(a.largest(c, n)) {
				return false, false
			}
		}
		return false, true
	})
}

// retry calls try, with the lock held, until it is done or can't be done, while connections
// that yield are being closed.
func (a *Account) retry(try func() (done, mayRetry bool)) error {
	for range maxYields {
		a.mu.Lock()
		done, mayRetry := try()
		a.mu.Unlock()
		if done {
			return nil
		}
		if !mayRetry {
			return ErrOverloaded
		}
		time.Sleep(yieldPoll)
	}
	return ErrOverloaded
}

// limitOf is the limit of the account for a connection that will hold n bytes more.
func (a *Account) limitOf(c *Conn, n int64) int64 {
	if c.extra(n) <= smallExtra {
		return a.limit
	}
	return a.largeLimit()
}

// largeLimit is the part of the account that large requests may take.
func (a *Account) largeLimit() int64 { return a.limit - a.limit/reservedFraction }

// refund takes n bytes from what a connection holds.
func (a *Account) refund(c *Conn, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.releaseLocked(c, c.held-n)
}

// release reduces what a connection holds to n bytes.
func (a *Account) release(c *Conn, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.releaseLocked(c, n)
}

func (a *Account) releaseLocked(c *Conn, n int64) {
	if n >= c.held {
		return
	}
	a.used -= c.held - n
	if c.told {
		a.yielding -= c.held - n
	}
	c.held = n
}

// enter sets what a connection waits for. It fails once the connection has been told to
// yield.
func (a *Account) enter(c *Conn, s state) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.told {
		return ErrOverloaded
	}
	c.state, c.since = s, time.Now()
	return nil
}

// yield tells a connection to close. It reports false without one.
func (a *Account) yield(c *Conn) bool {
	if c == nil {
		return false
	}
	c.told = true
	a.told++
	a.yields++
	a.yielding += c.held
	// A deadline in the past ends the read that the connection waits in.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// longestWaiting returns the connection that yields its descriptor: one that has never sent
// a whole request, else an idle one, else one that sends a body. Of these the one that has
// waited longest.
func (a *Account) longestWaiting() *Conn {
	var chosen *Conn
	rank := func(c *Conn) int {
		switch {
		case c.state == stateIdle && c.served:
			return 1
		case c.state == stateBody:
			return 2
		}
		return 0
	}
	for c := range a.conns {
		if c.told || c.state == stateBusy {
			continue
		}
		if chosen == nil || rank(c) < rank(chosen) || rank(c) == rank(chosen) && c.since.Before(chosen.since) {
			chosen = c
		}
	}
	return chosen
}

// largest returns the connection that yields its memory to one that will hold n bytes more:
// the one that holds most of a large incomplete request, else the one that has waited longest
// for the rest of a small request, or for the next one. It returns nil if none has waited
// longer than the one that asks.
func (a *Account) largest(asking *Conn, n int64) *Conn {
	var large, waiting *Conn
	for c := range a.conns {
		switch {
		case c == asking || c.told || c.state == stateBusy:
		case c.extra(0) > smallExtra:
			if large == nil || c.extra(0) > large.extra(0) {
				large = c
			}
		case c.since.Before(asking.since) && (waiting == nil || c.since.Before(waiting.since)):
			waiting = c
		}
	}
	if large != nil && large.extra(0) > asking.extra(n) {
		return large
	}
	return waiting
}
