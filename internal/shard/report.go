package shard

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/crocusway/crocusway/internal/api"
)

const (
	// renewsPerLifetime is the number of renewals per grant lifetime.
	renewsPerLifetime = 4
	// reportTimeout bounds one report call.
	reportTimeout = time.Second
	// reportPeriod is the time between two checks for due reports.
	reportPeriod = 100 * time.Millisecond
)

// Run reports held grants to new owners, renews them, and ends those that could
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
		due := now.Sub(renewed) >= c.cfg.Settings.GrantLifetime/renewsPerLifetime
		if due {
			renewed = now
		}
		c.Tick(ctx, due)
	}
}

// Tick ends expired grants and reports to every owner that has not yet accepted
// a report in its term; with renew set, also to every owner of a held grant.
// The calls run in the background, one at a time for each shard.
func (c *Client) Tick(ctx context.Context, renew bool) {
	for _, o := range c.due(renew) {
		go c.report(ctx, o)
	}
}

// Update reports immediately to the owners of a newer view.
func (c *Client) Update(ctx context.Context) { c.Tick(ctx, false) }

// due ends expired grants and returns the owners to report to.
func (c *Client) due(renew bool) []ownership {
	s := c.cfg.View.Snapshot()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held.Expire(c.cfg.Clock.Now())
	holdsGrant := c.held.Shards()
	var due []ownership
	for _, lease := range s.Shards {
		owner := s.Entry(lease.Owner)
		if owner == nil {
			continue
		}
		o := ownership{lease: lease, term: term{epoch: lease.Epoch, incarnation: owner.Incarnation}}
		needed := c.held.needsReport(lease.Shard, o.term) || (renew && holdsGrant[lease.Shard])
		if needed && !c.reporting[lease.Shard] {
			c.reporting[lease.Shard] = true
			due = append(due, o)
		}
	}
	return due
}

// ownership is a lease and the term of the process that holds it.
type ownership struct {
	lease api.ShardLease
	term  term
}

// report sends the held grants of one shard to its owner.
func (c *Client) report(ctx context.Context, o ownership) {
	shard := o.lease.Shard
	sent := c.cfg.Clock.Now()
	c.mu.Lock()
	grants := c.held.beginReport(shard, o.term)
	c.mu.Unlock()
	res, err := c.callReport(ctx, o.lease, api.ReportRequest{
		Shard:            shard,
		Epoch:            o.term.epoch,
		Entry:            c.cfg.Self.ID,
		Incarnation:      c.cfg.Self.Incarnation,
		OwnerIncarnation: o.term.incarnation,
		Grants:           grants,
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.reporting, shard)
	if err != nil {
		level.Debug(c.logger).Log("msg", "failed to report grants", "shard", shard, "err", err)
		return
	}
	c.held.applyReport(shard, o.term, grants, res, sent)
}

func (c *Client) callReport(ctx context.Context, lease api.ShardLease, params api.ReportRequest) (api.ReportResponse, error) {
	if c.isLocal(lease) {
		return c.local.Report(params)
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

// logUndelivered logs a settlement that was not delivered to the owner.
func (c *Client) logUndelivered(err error, g api.Grant) {
	if err != nil {
		level.Debug(c.logger).Log("msg", "settlement not delivered", "shard", g.Shard, "grant", g.ID, "err", err)
	}
}
