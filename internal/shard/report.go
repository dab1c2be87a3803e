package shard

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
	"github.com/crocusway/crocusway/internal/entry"
)

const (
	// renewFraction is the part of the grant lifetime between two renewals.
	renewFraction = 4
	// reportTimeout bounds one report call.
	reportTimeout = time.Second
	// reportPeriod is the time between two checks for a new owner.
	reportPeriod = 100 * time.Millisecond
)

// Run reports held grants to new owners, renews them and ends those that could
// not be renewed in time, until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(reportPeriod)
	defer ticker.Stop()
	renewed := c.cfg.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := c.cfg.Clock.Now()
		due := now.Sub(renewed) >= c.cfg.Settings.GrantLifetime/renewFraction
		if due {
			renewed = now
		}
		c.Tick(ctx, due)
	}
}

// Tick ends expired grants and reports to every owner that has not yet
// acknowledged its epoch; with renew set, also to every owner of a held grant.
// The calls run in the background.
func (c *Client) Tick(ctx context.Context, renew bool) {
	c.endExpired()
	s := c.cfg.View.Snapshot()
	holding := c.holding()
	for _, lease := range s.Shards {
		if !c.owesReport(lease) && (!renew || !holding[lease.Shard]) {
			continue
		}
		go c.report(ctx, lease)
	}
}

// Update reports to the owners of a newer view at once.
func (c *Client) Update(ctx context.Context, s *entry.Snapshot) {
	for _, lease := range s.Shards {
		if c.owesReport(lease) {
			go c.report(ctx, lease)
		}
	}
}

func (c *Client) owesReport(lease api.ShardLease) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.acknowledged[lease.Shard] < lease.Epoch
}

// holding returns the shards of which a grant is held.
func (c *Client) holding() map[api.ShardID]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	shards := make(map[api.ShardID]bool, len(c.held))
	for _, h := range c.held {
		shards[h.grant.Shard] = true
	}
	return shards
}

// endExpired ends the grants whose lifetime has run out.
func (c *Client) endExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock.Now()
	for key, h := range c.held {
		if !now.Before(h.expires) {
			c.end(key, h)
		}
	}
}

// end forgets a grant and tells its user. The lock is held.
func (c *Client) end(key string, h *heldGrant) {
	delete(c.held, key)
	close(h.ended)
}

// report sends the held grants of one shard to its owner.
func (c *Client) report(ctx context.Context, lease api.ShardLease) {
	sent := c.cfg.Clock.Now()
	params := api.ReportRequest{
		Shard:       lease.Shard,
		Epoch:       lease.Epoch,
		Entry:       c.cfg.Self.ID,
		Incarnation: c.cfg.Self.Incarnation,
		Grants:      c.beginReport(lease),
	}
	res, err := c.callReport(ctx, lease, params)
	if err != nil {
		level.Debug(c.logger).Log("msg", "report failed", "shard", lease.Shard, "err", err)
		return
	}
	c.applyReport(lease, params.Grants, res, sent)
}

// beginReport lists the held grants of a shard. From here on a grant of an
// older epoch that still arrives is not used.
func (c *Client) beginReport(lease api.ShardLease) []api.Grant {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.announced[lease.Shard] = max(c.announced[lease.Shard], lease.Epoch)
	grants := []api.Grant{}
	for _, h := range c.held {
		if h.grant.Shard == lease.Shard {
			grants = append(grants, h.grant)
		}
	}
	return grants
}

func (c *Client) callReport(ctx context.Context, lease api.ShardLease, params api.ReportRequest) (api.ReportResponse, error) {
	if c.isLocal(lease) {
		return c.cfg.Local.Report(params)
	}
	var res api.ReportResponse
	address, err := c.ownerAddress(lease)
	if err != nil {
		return res, err
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	err = c.cfg.Peers.Call(ctx, address, api.MethodReport, params, &res)
	return res, err
}

// applyReport extends the renewed grants and ends the refused ones.
func (c *Client) applyReport(lease api.ShardLease, grants []api.Grant, res api.ReportResponse, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged[lease.Shard] = max(c.acknowledged[lease.Shard], lease.Epoch)
	refused := make(map[string]bool, len(res.Refused))
	for _, id := range res.Refused {
		refused[id] = true
	}
	expires := sent.Add(time.Duration(res.RenewMillis) * time.Millisecond)
	for _, g := range grants {
		key := holdKey(g)
		h := c.held[key]
		if h == nil {
			continue
		}
		if refused[g.ID] {
			c.end(key, h)
			continue
		}
		if expires.After(h.expires) {
			h.expires = expires
		}
	}
}

// logLost notes a settlement that did not reach the owner.
func (c *Client) logLost(err error, g api.Grant) {
	if err != nil {
		level.Debug(c.logger).Log("msg", "settlement not delivered", "shard", g.Shard, "grant", g.ID, "err", err)
	}
}
