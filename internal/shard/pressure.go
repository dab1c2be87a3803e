package shard

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// pressureAge is how long a full shard is not tried again without waiting.
const pressureAge = 100 * time.Millisecond

// pressureKey tells accounts apart, because a shard that is full for one may
// still owe another its share.
type pressureKey struct {
	shard   api.ShardID
	account api.AccountID
}

// pressure remembers a refusal of a full shard.
type pressure struct {
	until time.Time
	// wait is the wait that the owner expected, in milliseconds.
	wait int64
}

// notePressure remembers that a shard was full for an account.
func (c *Client) notePressure(key pressureKey, err error) {
	var e *errs.Error
	if !errors.As(err, &e) || e.Code != errs.Full {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pressure[key] = pressure{until: c.cfg.Clock.Now().Add(pressureAge), wait: e.RetryAfterMillis}
}

// isPressed reports whether the shard was full for the account a moment ago.
func (c *Client) isPressed(key pressureKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg.Clock.Now().Before(c.pressure[key].until)
}

// sortByPressure orders shards by the wait that they last asked for.
func (c *Client) sortByPressure(leases []api.ShardLease, account api.AccountID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := func(lease api.ShardLease) int64 { return c.pressure[pressureKey{lease.Shard, account}].wait }
	slices.SortStableFunc(leases, func(a, b api.ShardLease) int { return int(wait(a) - wait(b)) })
}
