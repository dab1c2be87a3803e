package shard

import (
	"slices"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// Ticket is one request that waits for a grant.
type Ticket struct {
	// ID is unique in the shard and above 0.
	ID      uint64
	Request api.AcquireRequest
	// Received is when the owner received the request.
	Received time.Time
	// Since is when the request began to wait, in this or another queue.
	Since time.Time
	// Deadline is when the request leaves this queue.
	Deadline time.Time
	// Patience is how long the request may still wait across all queues.
	Patience time.Duration
	// Class is the priority class of the account; a higher class goes first.
	Class int
	// Share is the account's part of this shard, in concurrent requests.
	Share int
}

// queue holds the waiting tickets of one shard, ordered by waiting time within
// each account.
type queue struct {
	accounts map[api.AccountID]*accountQueue
	// order lists the accounts with waiting tickets in order of arrival.
	order []*accountQueue
	size  int
}

type accountQueue struct {
	id      api.AccountID
	tickets []*Ticket
}

func newQueue() *queue { return &queue{accounts: map[api.AccountID]*accountQueue{}} }

func (q *queue) push(t *Ticket) {
	a := q.accounts[t.Request.Account]
	if a == nil {
		a = &accountQueue{id: t.Request.Account}
		q.accounts[a.id] = a
		q.order = append(q.order, a)
	}
	q.size++
	if t.Request.Resumed {
		a.tickets = append([]*Ticket{t}, a.tickets...)
		return
	}
	at := len(a.tickets)
	for at > 0 && isOlder(t, a.tickets[at-1]) {
		at--
	}
	a.tickets = slices.Insert(a.tickets, at, t)
}

// isOlder reports whether a has waited longer than b. Resumed requests stay
// ahead of the others.
func isOlder(a, b *Ticket) bool { return !b.Request.Resumed && a.Since.Before(b.Since) }

// length returns the number of waiting tickets of an account.
func (q *queue) length(id api.AccountID) int {
	if a := q.accounts[id]; a != nil {
		return len(a.tickets)
	}
	return 0
}

// remove removes a ticket and reports whether it was queued.
func (q *queue) remove(t *Ticket) bool {
	a := q.accounts[t.Request.Account]
	if a == nil {
		return false
	}
	for i, w := range a.tickets {
		if w.ID == t.ID {
			a.tickets = append(a.tickets[:i], a.tickets[i+1:]...)
			q.size--
			q.removeIfEmpty(a)
			return true
		}
	}
	return false
}

// removeIfEmpty removes an account without tickets.
func (q *queue) removeIfEmpty(a *accountQueue) {
	if len(a.tickets) > 0 {
		return
	}
	delete(q.accounts, a.id)
	for i, o := range q.order {
		if o == a {
			q.order = append(q.order[:i], q.order[i+1:]...)
			return
		}
	}
}

// each calls f for every waiting ticket. f must not change the queue.
func (q *queue) each(f func(*Ticket)) {
	for _, a := range q.order {
		for _, t := range a.tickets {
			f(t)
		}
	}
}

// precedes reports whether ticket a has priority over ticket b. Accounts within
// their share or credit precede all others; then the higher class, then the
// account that uses less relative to its weight, then the older ticket.
func (l *ledger) precedes(a, b *Ticket) bool {
	withinA, withinB := l.isEntitled(a), l.isEntitled(b)
	if withinA != withinB {
		return withinA
	}
	if a.Class != b.Class {
		return a.Class > b.Class
	}
	// Compare heldA/weightA with heldB/weightB without division.
	useA := l.accounts[a.Request.Account] * weight(b)
	useB := l.accounts[b.Request.Account] * weight(a)
	if useA != useB {
		return useA < useB
	}
	if !a.Since.Equal(b.Since) {
		return a.Since.Before(b.Since)
	}
	return a.ID < b.ID
}

// isEntitled reports whether the account of a ticket is below its share, or
// below creditFactor times its share and covered by credit.
func (l *ledger) isEntitled(t *Ticket) bool {
	id := t.Request.Account
	return l.accounts[id] < t.Share || (l.accounts[id] < creditFactor*t.Share && l.credits.covers(id))
}

// weight returns the weight for fair sharing within a class, at least 1.
func weight(t *Ticket) int { return max(1, t.Share) }
