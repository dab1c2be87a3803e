package entry

import (
	"context"
	"sync"
	"time"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/clock"
	"github.com/crocusway/crocusway/internal/errs"
	"github.com/crocusway/crocusway/internal/peer"
)

const (
	// leaderRetryDelay is the pause after all addresses were tried, and after a
	// failed watch.
	leaderRetryDelay = 50 * time.Millisecond
	// leaderAttemptTimeout bounds one attempt at one voter, in addition to the
	// wait of a long poll.
	leaderAttemptTimeout = 2 * time.Second
)

// LeaderClient calls the control leader and follows leader changes. It
// implements ControlCaller and is safe for concurrent use.
type LeaderClient struct {
	caller peer.Caller
	voters AddressBook

	mu      sync.Mutex
	current string
	next    int
	// moved is closed and replaced when current changes.
	moved chan struct{}
}

// AddressBook lists the peer addresses of control daemons, at least one. The
// list may change between calls.
type AddressBook interface {
	Addresses() []string
}

// Voters is a fixed AddressBook.
type Voters []string

// Addresses implements AddressBook.
func (v Voters) Addresses() []string { return v }

// NewLeaderClient returns a client that looks for the leader among the addresses
// of voters.
func NewLeaderClient(caller peer.Caller, voters AddressBook) *LeaderClient {
	return &LeaderClient{caller: caller, voters: voters, current: voters.Addresses()[0], next: 1, moved: make(chan struct{})}
}

// Call sends the call to the leader until ctx ends. A call whose outcome is
// unknown is repeated only if its method is idempotent.
func (c *LeaderClient) Call(ctx context.Context, method api.Method, params, result any) error {
	for attempt := 0; ; attempt++ {
		address, moved := c.currentTarget()
		err := c.attempt(ctx, address, moved, method, params, result)
		if err == nil || !c.redirect(address, err, method) {
			return err
		}
		if ctx.Err() != nil {
			return errs.Wrap(err, "find control leader", address)
		}
		if n := len(c.voters.Addresses()); attempt%n == n-1 {
			clock.Sleep(ctx, leaderRetryDelay)
		}
	}
}

// attempt calls one voter. A watch is cancelled when another call switches the
// target: a hanging watch would keep the entry on an old view.
func (c *LeaderClient) attempt(ctx context.Context, address string, moved <-chan struct{}, method api.Method, params, result any) error {
	limit := leaderAttemptTimeout + longPollWait(params)
	attemptCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if method == api.MethodWatch {
		go func() {
			select {
			case <-moved:
				cancel()
			case <-attemptCtx.Done():
			}
		}()
	}
	return c.caller.Call(attemptCtx, address, method, params, result)
}

// longPollWait returns how long the leader may delay its response to the call.
func longPollWait(params any) time.Duration {
	switch p := params.(type) {
	case api.WatchRequest:
		return time.Duration(p.WaitMillis) * time.Millisecond
	case api.DecideRequest:
		return time.Duration(p.WaitMillis) * time.Millisecond
	case api.SuspectRequest:
		return time.Duration(p.WaitMillis) * time.Millisecond
	case api.RecordGetRequest:
		return time.Duration(p.WaitMillis) * time.Millisecond
	default:
		return 0
	}
}

// Leader returns the address that the next call goes to.
func (c *LeaderClient) Leader() string { return c.target() }

func (c *LeaderClient) target() string {
	address, _ := c.currentTarget()
	return address
}

// currentTarget returns the target and a channel that is closed when it changes.
func (c *LeaderClient) currentTarget() (address string, moved <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current, c.moved
}

// redirect chooses the next target after err and reports whether to retry the call.
func (c *LeaderClient) redirect(failed string, err error, method api.Method) bool {
	if errs.RetryAfterOf(err) > 0 {
		// The leader itself refused the call; no other voter can serve it.
		return false
	}
	switch errs.CodeOf(err) {
	case errs.NotLeader:
		c.switchTarget(failed, errs.DetailOf(err))
		return true
	case errs.Unavailable:
		c.switchTarget(failed, "")
		return true
	case errs.Timeout:
		c.switchTarget(failed, "")
		return method != api.MethodRecordOpen
	default:
		return false
	}
}

// switchTarget replaces the failed target by the hinted one, or else by the next
// voter. It does nothing if another call has already replaced it.
func (c *LeaderClient) switchTarget(failed, hint string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != failed {
		return
	}
	close(c.moved)
	c.moved = make(chan struct{})
	if hint != "" && hint != failed {
		c.current = hint
		return
	}
	c.current = c.nextVoter()
	if c.current == failed {
		c.current = c.nextVoter()
	}
}

// nextVoter returns the voters round-robin. The caller holds the lock.
func (c *LeaderClient) nextVoter() string {
	voters := c.voters.Addresses()
	voter := voters[c.next%len(voters)]
	c.next++
	return voter
}
