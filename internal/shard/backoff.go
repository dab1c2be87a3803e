package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

const (
	// fullBackoff is how long calls without a wait skip a full shard.
	fullBackoff = 100 * time.Millisecond
	// unresponsiveBackoff is how long they skip a shard whose owner did not answer
	// or was unavailable; it is also sorted last.
	unresponsiveBackoff = 500 * time.Millisecond
	// unresponsiveWait is the expected wait of such a shard in milliseconds; it
	// sorts the shard after full ones.
	unresponsiveWait = 1 << 40
)

// backoffKey includes the account, because a shard that is full for one account
// may still have the share of another free.
type backoffKey struct {
	shard   api.ShardID
	account api.AccountID
}

// backoff records that a shard was full or its owner unresponsive.
type backoff struct {
	until time.Time
	// wait is the expected wait, in milliseconds.
	wait int64
}

// allAccounts is the account of a backoff that applies to all accounts.
const allAccounts api.AccountID = ""

// recordBackoff records that a shard was full for an account, or that its owner
// was unresponsive.
func (c *Client) recordBackoff(key backoffKey, err error) {
	var e *errs.Error
	if !errors.As(err, &e) {
		return
	}
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch e.Code {
	case errs.Full:
		c.backoffs[key] = backoff{until: now.Add(fullBackoff), wait: e.RetryAfterMillis}
	case errs.Timeout, errs.Unavailable:
		c.backoffs[backoffKey{key.shard, allAccounts}] = backoff{until: now.Add(unresponsiveBackoff), wait: unresponsiveWait}
	}
}

// inBackoff reports whether the shard was recently full for the account, or its
// owner unresponsive.
func (c *Client) inBackoff(key backoffKey) bool {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.backoffs[key].until) || now.Before(c.backoffs[backoffKey{key.shard, allAccounts}].until)
}

// sortByExpectedWait sorts shards by the last expected wait, with those of
// unresponsive owners last.
func (c *Client) sortByExpectedWait(leases []api.ShardLease, account api.AccountID) {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := func(lease api.ShardLease) int64 {
		if p := c.backoffs[backoffKey{lease.Shard, allAccounts}]; now.Before(p.until) {
			return p.wait
		}
		return c.backoffs[backoffKey{lease.Shard, account}].wait
	}
	slices.SortStableFunc(leases, func(a, b api.ShardLease) int { return cmp.Compare(wait(a), wait(b)) })
}
