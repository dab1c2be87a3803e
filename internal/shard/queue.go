package shard

import (
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
	// Deadline is when the request gives up.
	Deadline time.Time
	// Class orders accounts; a higher class goes first.
	Class int
	// Share is the account's bought part of this shard, in requests in
	// progress.
	Share int
}

// queue holds the waiting tickets of one shard, in order of arrival for each
// account.
type queue struct {
	accounts map[api.AccountID]*accountQueue
	// order lists the accounts with waiting tickets by first arrival.
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
	a.tickets = append(a.tickets, t)
}

// length returns the number of waiting tickets of an account.
func (q *queue) length(id api.AccountID) int {
	if a := q.accounts[id]; a != nil {
		return len(a.tickets)
	}
	return 0
}

// remove takes out a ticket and reports whether it waited.
func (q *queue) remove(t *Ticket) bool {
	a := q.accounts[t.Request.Account]
	if a == nil {
		return false
	}
	for i, w := range a.tickets {
		if w.ID == t.ID {
			a.tickets = append(a.tickets[:i], a.tickets[i+1:]...)
			q.size--
			q.drop(a)
			return true
		}
	}
	return false
}

// drop forgets an account without tickets.
func (q *queue) drop(a *accountQueue) {
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

// precedes reports whether ticket a goes before ticket b. held is the number
// of requests that an account has in progress in the shard. An account below
// its share goes before any account that is not; then the higher class goes
// first; then the account that uses less of its weight; then the older ticket.
func precedes(a, b *Ticket, held map[api.AccountID]int) bool {
	heldA, heldB := held[a.Request.Account], held[b.Request.Account]
	belowA, belowB := heldA < a.Share, heldB < b.Share
	if belowA != belowB {
		return belowA
	}
	if a.Class != b.Class {
		return a.Class > b.Class
	}
	// Compare heldA/weightA with heldB/weightB without division.
	useA, useB := heldA*weight(b), heldB*weight(a)
	if useA != useB {
		return useA < useB
	}
	return a.ID < b.ID
}

// weight is the part of the fair share inside a class, at least 1.
func weight(t *Ticket) int { return max(1, t.Share) }
