package shard

import (
	"strconv"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

const (
	// reservedShare is the inverse of the largest part of a shard that is reserved
	// for requests that run alone; one replica may always be reserved.
	reservedShare = 3
	// priorityInShare is added to the engine priority of a request within the
	// share of its account.
	priorityInShare = 10
)

// grantAll grants slots until none is free or no waiting ticket can be placed.
func (c *Core) grantAll(now time.Time) {
	if c.queue.size == 0 {
		return
	}
	skipped := map[api.AccountID]int{}
	for c.hasFreeSlot() {
		t := c.highestPriority(skipped)
		if t == nil {
			return
		}
		r := c.selectReplica(now, t)
		if r == nil {
			skipped[t.Request.Account]++
			continue
		}
		c.removeTicket(t)
		c.grant(now, t, r)
	}
}

// hasFreeSlot reports whether any replica could accept a request.
func (c *Core) hasFreeSlot() bool {
	if c.drained {
		return false
	}
	for _, r := range c.ledger.order {
		if r.freeSlots() > 0 && !r.uncertain && r.isReady() {
			return true
		}
	}
	return false
}

// highestPriority returns the waiting ticket that precedes all others, or nil.
// For each account it leaves out the given number of skipped tickets.
func (c *Core) highestPriority(skipped map[api.AccountID]int) *Ticket {
	var best *Ticket
	for _, a := range c.queue.order {
		n := skipped[a.id]
		if n >= len(a.tickets) {
			continue
		}
		if t := a.tickets[n]; best == nil || c.ledger.precedes(t, best) {
			best = t
		}
	}
	return best
}

// selectReplica returns the replica for a ticket, or nil. If there is none for
// a ticket that must run alone, it reserves one.
func (c *Core) selectReplica(now time.Time, t *Ticket) *replica {
	ctx := &choice{now: now, request: &t.Request, ticket: t.ID, drained: c.drained, rand: c.rand}
	r := c.chooser.choose(ctx, c.ledger.order)
	if r == nil && t.Request.Alone {
		c.reserve(ctx)
	}
	return r
}

// reserve reserves the least used replica for a ticket that must run alone, so
// that the replica becomes idle.
func (c *Core) reserve(ctx *choice) {
	reserved := 0
	var best *replica
	for _, r := range c.ledger.order {
		if r.reserved == ctx.ticket {
			return
		}
		if r.reserved != 0 || r.alone {
			reserved++
			continue
		}
		usable := readyFilter{}.keep(ctx, r) && excludedFilter{}.keep(ctx, r) && !r.uncertain && r.unreported == 0
		if usable && (best == nil || r.held < best.held) {
			best = r
		}
	}
	if best != nil && reserved < max(1, len(c.ledger.order)/reservedShare) {
		best.reserved = ctx.ticket
	}
}

// grant issues a grant on a replica for a ticket.
func (c *Core) grant(now time.Time, t *Ticket, r *replica) {
	priority := t.Class
	if c.ledger.accounts[t.Request.Account] < t.Share {
		priority += priorityInShare
	}
	lifetime := c.settings.GrantLifetime
	g := api.Grant{
		ID:               c.grantID(),
		Shard:            c.id,
		Epoch:            c.term.epoch,
		OwnerIncarnation: c.term.incarnation,
		Request:          t.Request.Request,
		Account:          t.Request.Account,
		Group:            r.group.ID,
		Fencing:          r.group.Fencing,
		Address:          r.group.Address,
		ExpiresMillis:    (now.Sub(t.Received) + lifetime).Milliseconds(),
		Priority:         priority,
		Alone:            t.Request.Alone,
	}
	c.ledger.add(&issuedGrant{
		grant:       g,
		entry:       t.Request.Entry,
		incarnation: t.Request.Incarnation,
		replica:     r,
		granted:     now,
		expires:     now.Add(lifetime),
		stopBy:      now.Add(c.settings.RequestTimeout),
		blocks:      t.Request.PrefixHashes,
		class:       t.Class,
		share:       t.Share,
		// Revoking the grant needs an engine that can cancel and resume.
		revocable: t.Request.Revocable && r.group.Capabilities.Cancel && r.group.Capabilities.Resume,
	})
	r.prefix.add(now, t.Request.PrefixHashes)
	c.decisions = append(c.decisions, Decision{Ticket: t.ID, Grant: g})
}

// grantID returns a new id, unique across all owners of the shard.
func (c *Core) grantID() string {
	c.grantCount++
	id := strconv.AppendUint(nil, uint64(c.term.epoch), 10)
	id = append(id, '-')
	id = strconv.AppendUint(id, uint64(c.term.incarnation), 10)
	id = append(id, '-')
	id = strconv.AppendUint(id, c.grantCount, 10)
	return string(id)
}
