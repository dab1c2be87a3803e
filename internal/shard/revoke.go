package shard

import (
	"slices"
	"strings"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// revokeRepeat is the time after which a revocation is sent again while its
// grant is still held.
const revokeRepeat = time.Second

// Revocation asks the entry that holds a grant to give it back.
type Revocation struct {
	Entry api.EntryID
	Grant api.Grant
}

// Revocations returns, once, the grants to take back since the last call.
func (c *Core) Revocations() []Revocation {
	out := c.revoked
	c.revoked = nil
	return out
}

// revokeLent takes back lent capacity: for each waiting ticket within the share
// of its account that found no slot, one grant of an account above its share.
func (c *Core) revokeLent(now time.Time) {
	if c.queue.size == 0 || c.drained || !c.handover.done {
		return
	}
	c.repeatRevocations(now)
	for missing := c.claims() - c.ledger.revoked; missing > 0; missing-- {
		h := c.victim()
		if h == nil {
			return
		}
		h.revokedAt = now
		c.ledger.revoked++
		c.revoked = append(c.revoked, Revocation{Entry: h.entry, Grant: h.grant})
	}
}

// claims counts the waiting tickets within the shares of their accounts.
func (c *Core) claims() int {
	n := 0
	for _, a := range c.queue.order {
		unused := a.tickets[0].Share - c.ledger.accounts[a.id]
		n += max(0, min(unused, len(a.tickets)))
	}
	return n
}

// victim returns the grant to take back, or nil: of the lowest class, and of
// those the one granted last, which loses the least work.
func (c *Core) victim() *hold {
	kept := c.keptCounts()
	var best *hold
	for _, h := range c.ledger.holds {
		if !h.revocable || !h.revokedAt.IsZero() || kept[h.grant.Account] <= h.share || !h.replica.isReady() {
			continue
		}
		if best == nil || yieldsBefore(h, best) {
			best = h
		}
	}
	return best
}

// keptCounts returns the grants of each account that were not asked back.
func (c *Core) keptCounts() map[api.AccountID]int {
	kept := make(map[api.AccountID]int, len(c.ledger.accounts))
	for _, h := range c.ledger.holds {
		if h.revokedAt.IsZero() {
			kept[h.grant.Account]++
		}
	}
	return kept
}

func yieldsBefore(a, b *hold) bool {
	if a.class != b.class {
		return a.class < b.class
	}
	if !a.granted.Equal(b.granted) {
		return a.granted.After(b.granted)
	}
	return a.grant.ID > b.grant.ID
}

// repeatRevocations asks again for grants that were not given back.
func (c *Core) repeatRevocations(now time.Time) {
	if c.ledger.revoked == 0 {
		return
	}
	for _, h := range c.ledger.holds {
		if h.revokedAt.IsZero() || now.Sub(h.revokedAt) < revokeRepeat {
			continue
		}
		h.revokedAt = now
		c.revoked = append(c.revoked, Revocation{Entry: h.entry, Grant: h.grant})
	}
	slices.SortFunc(c.revoked, func(a, b Revocation) int { return strings.Compare(a.Grant.ID, b.Grant.ID) })
}
