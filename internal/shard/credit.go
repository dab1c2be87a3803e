package shard

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// creditFactor is the most that an account may use on credit, as a multiple of
// its share.
const creditFactor = 2

// credit is the recently unused part of an account's share, in request-seconds.
// It is negative when the account used more than its share.
type credit struct {
	share   int
	balance float64
}

// credits holds the credit of the accounts that have less than the maximum. An
// account without a record has the maximum.
type credits struct {
	// span is how long an account with the maximum credit may use twice its
	// share.
	span     time.Duration
	accounts map[api.AccountID]*credit
	advanced time.Time
}

func newCredits(span time.Duration, now time.Time) *credits {
	return &credits{span: span, accounts: map[api.AccountID]*credit{}, advanced: now}
}

// open creates or updates the record of an account that uses its share.
func (c *credits) open(id api.AccountID, share int) {
	if share <= 0 {
		return
	}
	if existing := c.accounts[id]; existing != nil {
		existing.share = share
		return
	}
	c.accounts[id] = &credit{share: share, balance: c.maxBalance(share)}
}

// maxBalance returns the largest credit of a share, which is also the largest
// debt.
func (c *credits) maxBalance(share int) float64 { return float64(share) * c.span.Seconds() }

// advance updates the balances for the time since the last call. held is the
// number of requests that each account has in progress.
func (c *credits) advance(now time.Time, held map[api.AccountID]int) {
	elapsed := now.Sub(c.advanced).Seconds()
	if elapsed <= 0 {
		return
	}
	c.advanced = now
	for id, a := range c.accounts {
		limit := c.maxBalance(a.share)
		a.balance += float64(a.share-held[id]) * elapsed
		a.balance = min(max(a.balance, -limit), limit)
		if a.balance == limit && held[id] == 0 {
			delete(c.accounts, id)
		}
	}
}

// covers reports whether the credit of an account lets it exceed its share.
func (c *credits) covers(id api.AccountID) bool {
	a := c.accounts[id]
	return a == nil || a.balance > 0
}
