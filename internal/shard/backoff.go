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
	// pressureAge is how long a full shard is not tried again without waiting.
	fullBackoff = 100 * time.Millisecond
	// silenceAge is how long a shard whose owner did not answer is tried last.
	unresponsiveBackoff = 500 * time.Millisecond
	// silenceWait ranks such a shard behind those that are full, in milliseconds.
	unresponsiveWait = 1 << 40
)

// pressureKey tells accounts apart, because a shard that is full for one may
// still owe another its share.
type backoffKey struct {
	shard   api.ShardID
	account api.AccountID
}

// pressure remembers a refusal of a full shard.
type backoff struct {
	until time.Time
	// wait is the wait that the owner expected, in milliseconds.
	wait int64
}

// anyAccount is the account of a pressure that holds for all.
const allAccounts api.AccountID = ""

// notePressure remembers that a shard was full for an account, or that its
// owner did not answer.
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

// isPressed reports whether the shard was full for the account, or silent, a
// moment ago.
func (c *Client) inBackoff(key backoffKey) bool {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.backoffs[key].until) || now.Before(c.backoffs[backoffKey{key.shard, allAccounts}].until)
}

// sortByPressure orders shards by the wait that they last asked for, and those
// of silent owners last.
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
