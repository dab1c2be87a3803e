package shard

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// revokeRetryInterval is the time after which a revocation is sent again while
// its grant is outstanding.
const revokeRetryInterval = time.Second

// Revocation asks the entry that holds a grant to stop the request and settle the
// grant.
type Revocation struct {
	Entry api.EntryID
	Grant api.Grant
}

// Revocations returns the revocations to send since the last call.
func (c *Core) Revocations() []Revocation {
	out := c.revocations
	c.revocations = nil
	return out
}

// reclaimShares revokes borrowed capacity: for each waiting ticket within the
// share of its account that found no slot, one grant of an account above its
// share.
func (c *Core) reclaimShares(now time.Time) {
	if c.queue.size == 0 || c.drained || !c.handover.done {
		return
	}
	c.retryRevocations(now)
	claims := c.claims()
	for _, class := range claims[min(c.ledger.revokedCount, len(claims)):] {
		ig := c.victim(class)
		if ig == nil {
			return
		}
		ig.revokedAt = now
		c.ledger.revokedCount++
		c.revocations = append(c.revocations, Revocation{Entry: ig.entry, Grant: ig.grant})
	}
}

// claims returns the classes, highest first, of the waiting tickets within the
// shares of their accounts.
func (c *Core) claims() []int {
	c.claimBuffer = c.claimBuffer[:0]
	for _, a := range c.queue.order {
		first := a.tickets[0]
		unused := first.Share - c.ledger.accounts[a.id]
		for range min(unused, len(a.tickets)) {
			c.claimBuffer = append(c.claimBuffer, first.Class)
		}
	}
	slices.SortFunc(c.claimBuffer, func(a, b int) int { return cmp.Compare(b, a) })
	return c.claimBuffer
}

// victim returns the grant to revoke for a claim of a class, or nil: of the
// lowest class, and among those the one issued last, which loses the least
// work.
func (c *Core) victim(claimant int) *issuedGrant {
	unrevoked := c.unrevokedCounts()
	var best *issuedGrant
	for _, ig := range c.ledger.grants {
		if !ig.revocable || !ig.revokedAt.IsZero() || !c.isPreemptible(ig, unrevoked, claimant) || !ig.replica.isReady() {
			continue
		}
		if best == nil || preemptBefore(ig, best) {
			best = ig
		}
	}
	return best
}

// isPreemptible reports whether the account of a grant holds more than it may
// keep: its share and, against claims of lower classes, what its credit covers.
func (c *Core) isPreemptible(ig *issuedGrant, unrevoked map[api.AccountID]int, claimant int) bool {
	n := unrevoked[ig.grant.Account]
	covered := ig.class > claimant && n <= creditFactor*ig.share && c.ledger.credits.covers(ig.grant.Account)
	return n > ig.share && !covered
}

// unrevokedCounts returns the number of grants of each account that are not
// revoked.
func (c *Core) unrevokedCounts() map[api.AccountID]int {
	counts := make(map[api.AccountID]int, len(c.ledger.accounts))
	for _, ig := range c.ledger.grants {
		if ig.revokedAt.IsZero() {
			counts[ig.grant.Account]++
		}
	}
	return counts
}

func preemptBefore(a, b *issuedGrant) bool {
	if a.class != b.class {
		return a.class < b.class
	}
	if !a.granted.Equal(b.granted) {
		return a.granted.After(b.granted)
	}
	return a.grant.ID > b.grant.ID
}

// retryRevocations repeats the revocations of grants that are still
// outstanding.
func (c *Core) retryRevocations(now time.Time) {
	if c.ledger.revokedCount == 0 {
		return
	}
	for _, ig := range c.ledger.grants {
		if ig.revokedAt.IsZero() || now.Sub(ig.revokedAt) < revokeRetryInterval {
			continue
		}
		ig.revokedAt = now
		c.revocations = append(c.revocations, Revocation{Entry: ig.entry, Grant: ig.grant})
	}
	slices.SortFunc(c.revocations, func(a, b Revocation) int { return strings.Compare(a.Grant.ID, b.Grant.ID) })
}
