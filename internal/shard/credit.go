package shard

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// creditFactor bounds what an account uses on credit, as a factor of its share.
const creditFactor = 2

// credit is what an account left unused of its share lately, in
// request-seconds. Below 0 the account used more than it left.
type credit struct {
	share   int
	balance float64
}

// credits keeps the credit of the accounts that have less than the most. An
// account without a record has the most.
type credits struct {
	// span is how long an account may use twice its share when its credit is at
	// the most.
	span     time.Duration
	accounts map[api.AccountID]*credit
	advanced time.Time
}

func newCredits(span time.Duration, now time.Time) *credits {
	return &credits{span: span, accounts: map[api.AccountID]*credit{}, advanced: now}
}

// open starts the record of an account that begins to use its share.
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

// most is the largest credit of a share, and the largest debt.
func (c *credits) maxBalance(share int) float64 { return float64(share) * c.span.Seconds() }

// advance books the time since the last call. held is the number of requests
// that each account has in progress.
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

// covers reports whether an account may go above its share at present.
func (c *credits) covers(id api.AccountID) bool {
	a := c.accounts[id]
	return a == nil || a.balance > 0
}
