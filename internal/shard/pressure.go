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
	pressureAge = 100 * time.Millisecond
	// silenceAge is how long a shard whose owner did not answer is tried last.
	silenceAge = 500 * time.Millisecond
	// silenceWait ranks such a shard behind those that are full, in milliseconds.
	silenceWait = 1 << 40
)

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

// anyAccount is the account of a pressure that holds for all.
const anyAccount api.AccountID = ""

// notePressure remembers that a shard was full for an account, or that its
// owner did not answer.
func (c *Client) notePressure(key pressureKey, err error) {
	var e *errs.Error
	if !errors.As(err, &e) {
		return
	}
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch e.Code {
	case errs.Full:
		c.pressure[key] = pressure{until: now.Add(pressureAge), wait: e.RetryAfterMillis}
	case errs.Timeout, errs.Unavailable:
		c.pressure[pressureKey{key.shard, anyAccount}] = pressure{until: now.Add(silenceAge), wait: silenceWait}
	}
}

// isPressed reports whether the shard was full for the account, or silent, a
// moment ago.
func (c *Client) isPressed(key pressureKey) bool {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.pressure[key].until) || now.Before(c.pressure[pressureKey{key.shard, anyAccount}].until)
}

// sortByPressure orders shards by the wait that they last asked for, and those
// of silent owners last.
func (c *Client) sortByPressure(leases []api.ShardLease, account api.AccountID) {
	now := c.cfg.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	wait := func(lease api.ShardLease) int64 {
		if p := c.pressure[pressureKey{lease.Shard, anyAccount}]; now.Before(p.until) {
			return p.wait
		}
		return c.pressure[pressureKey{lease.Shard, account}].wait
	}
	slices.SortStableFunc(leases, func(a, b api.ShardLease) int { return cmp.Compare(wait(a), wait(b)) })
}
