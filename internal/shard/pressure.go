package shard

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/errs"
)

// notePressure remembers that a shard was full.
func (c *Client) notePressure(id api.ShardID, err error) {
	var e *errs.Error
	if !errors.As(err, &e) || e.Code != errs.Full {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pressure[id] = pressure{until: c.cfg.Clock.Now().Add(pressureAge), wait: e.RetryAfterMillis}
}

// isPressed reports whether the shard was full a moment ago.
func (c *Client) isPressed(id api.ShardID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg.Clock.Now().Before(c.pressure[id].until)
}

// sortByPressure orders shards by the wait that they last asked for.
func (c *Client) sortByPressure(leases []api.ShardLease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortStableFunc(leases, func(a, b api.ShardLease) int {
		return int(c.pressure[a.Shard].wait - c.pressure[b.Shard].wait)
	})
}

// leastPressure returns the shard with the shortest last wait.
func (c *Client) leastPressure(leases []api.ShardLease) api.ShardLease {
	c.mu.Lock()
	defer c.mu.Unlock()
	best := leases[0]
	for _, lease := range leases[1:] {
		if c.pressure[lease.Shard].wait < c.pressure[best.Shard].wait {
			best = lease
		}
	}
	return best
}
