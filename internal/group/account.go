package group

import (
	"slices"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// This file keeps the account of what the hosts of a shared replica may still do. A host joins
// another replica only once it is out of every earlier one whose head may serve. What it
// announces proves that for no replica: announcements arrive late and in any order. A host
// is out once it has acknowledged the order to leave in its present incarnation, and no order to
// join that was sent to it may be carried out any more:
//
//   - Orders of former leaders are refused after the acknowledgement, as they have an older term.
//   - Orders of this leader count until they are answered: an order without an answer may be
//     carried out after the host has left, and its fencing number is not too old then.
//
// Restarts clear what a host refuses, so that the acknowledgement of a former incarnation counts
// for nothing. A host that never answers in time is out once its announcements have shown that for
// OrderLateness, or at once if this leader saw it in the replica before, and no former one has sent
// it orders.

// replicaAccount is the account of one shared replica, from its forming to its end.
type replicaAccount struct {
	// inherited is set if former leaders may have sent orders to the members.
	inherited bool
	members   map[api.HostID]*memberAccount
	// opens are the orders to serve that were sent to the head, and openedAt is when one was
	// answered last.
	opens    pendingOrders
	openedAt time.Time
}

// memberAccount is what a leader knows of one member.
type memberAccount struct {
	joins pendingOrders
	// answeredAt is when an order to join was answered last.
	answeredAt time.Time
	left       departure
	// shownIn is the incarnation in which the member announced the membership, and shownOut is
	// set once it has announced after that, and after it left, that it has none.
	shownIn  api.Incarnation
	shownOut bool
	absent   absence
}

// absence is how long a host has announced that it is not in a replica.
type absence struct {
	incarnation api.Incarnation
	since       time.Time
	// left is set if the same incarnation announced the membership before.
	left bool
}

// departure is an acknowledged order to leave.
type departure struct {
	// sent and at are when the order was sent and when its answer was recorded.
	sent, at time.Time
	// incarnation and sequence are those of the newest announcement of the host at these times.
	incarnation api.Incarnation
	sequence    uint64
}

// pendingOrders are orders that may still be carried out: those under way, and those that got no
// answer.
type pendingOrders []pendingOrder

type pendingOrder struct {
	sent time.Time
	// unanswered is set once the order got no answer in time.
	unanswered bool
}

// add records an order, and drops those that are too old to be carried out.
func (p *pendingOrders) add(sent time.Time, retention time.Duration) {
	*p = slices.DeleteFunc(*p, func(o pendingOrder) bool { return !o.sent.After(sent.Add(-retention)) })
	*p = append(*p, pendingOrder{sent: sent})
}

// remove drops an order that was answered, or never sent.
func (p *pendingOrders) remove(sent time.Time) {
	*p = slices.DeleteFunc(*p, func(o pendingOrder) bool { return o.sent.Equal(sent) })
}

// expire records that an order got no answer in time.
func (p pendingOrders) expire(sent time.Time) {
	for i := range p {
		if p[i].sent.Equal(sent) {
			p[i].unanswered = true
		}
	}
}

// carriedOut records that one of the orders was carried out late. While others are under way, it
// may be one of those.
func (p *pendingOrders) carriedOut() {
	if !slices.ContainsFunc(*p, func(o pendingOrder) bool { return !o.unanswered }) && len(*p) > 0 {
		*p = slices.Delete(*p, 0, 1)
	}
}

// any reports whether an order sent after a time may still be carried out.
func (p pendingOrders) any(after time.Time) bool {
	return slices.ContainsFunc(p, func(o pendingOrder) bool { return o.sent.After(after) })
}

// account returns the account of a replica.
func (m *Memory) account(id api.GroupID) *replicaAccount {
	acc := m.accounts[id]
	if acc == nil {
		acc = &replicaAccount{inherited: !m.formed[id], members: make(map[api.HostID]*memberAccount)}
		m.accounts[id] = acc
	}
	return acc
}

func (a *replicaAccount) member(id api.HostID) *memberAccount {
	m := a.members[id]
	if m == nil {
		m = &memberAccount{}
		a.members[id] = m
	}
	return m
}

// renewed returns the accounts for a memory that begins anew: orders without an answer still
// count, what hosts acknowledged does not.
func (m *Memory) renewed() *Memory {
	out := NewMemory()
	out.accounts = m.accounts
	for _, acc := range out.accounts {
		acc.inherited = true
		for _, member := range acc.members {
			*member = memberAccount{joins: member.joins}
		}
	}
	return out
}

// observe records an announcement that is newer than the last one.
func (m *memberAccount) observe(h *host, group api.GroupID, now time.Time) {
	if h.status == nil || h.stale || h.incarnation == 0 {
		return
	}
	isLater := m.left.incarnation == h.incarnation && h.sequence > m.left.sequence
	if h.group != group {
		if m.absent.incarnation != h.incarnation {
			m.absent = absence{h.incarnation, now, m.shownIn == h.incarnation}
		}
		m.shownOut = m.shownOut || isLater && m.shownIn == h.incarnation
		return
	}
	if isLater {
		// A late order brought the host back, or the announcement is older than the departure.
		if m.shownOut {
			m.joins.carriedOut()
		}
		m.left, m.shownOut = departure{}, false
	}
	m.shownIn, m.absent = h.incarnation, absence{}
}

// hasLeft reports whether a host acknowledged an order to leave in its present incarnation, which
// was sent after every answer to an order to join.
func (m *memberAccount) hasLeft(h *host) bool {
	return m.left.incarnation != 0 && m.left.incarnation == h.incarnation && !m.left.sent.Before(m.answeredAt)
}

// isAway reports whether a host is not in a replica, as far as the leader's orders go.
func (x *index) isAway(r *replica, h *host) bool {
	m := r.account.member(h.id)
	if m.hasLeft(h) {
		return true
	}
	if m.absent.incarnation == 0 || m.absent.incarnation != h.incarnation {
		return false
	}
	if x.now.Sub(m.absent.since) > x.policy.OrderLateness {
		return true
	}
	// An order to join that was answered after the release may have been carried out after the leave.
	isOrdered := h.release.fencing == r.Fencing && !m.answeredAt.After(h.release.seen)
	return m.absent.left && isOrdered && !r.account.inherited
}

// mayReturn reports whether an order to join may still be carried out.
func (x *index) mayReturn(m *memberAccount) bool {
	return m.joins.any(x.now.Add(-x.policy.OrderLateness))
}

// isOut reports whether a host has left a replica and stays out.
func (x *index) isOut(r *replica, h *host) bool {
	return x.isAway(r, h) && !x.mayReturn(r.account.member(h.id))
}

// hasFinished reports whether the head of a released replica serves no more and can't serve again:
// it has left, or has missed a member for too long. An order to serve may still reach a head that
// has not left, or that a late order has brought back.
func (x *index) hasFinished(r *replica) bool {
	head := r.mem.members[0]
	if head.assign == nil || head.assign.Group != r.ID {
		return true
	}
	member := r.account.member(head.id)
	mayOpen := r.account.opens.any(x.now.Add(-x.policy.OrderLateness))
	if x.isAway(r, head) {
		return !mayOpen || !x.mayReturn(member)
	}
	return !mayOpen && x.isBroken(r)
}

// isBroken reports whether the head has missed a member for StallTime since it was told to serve.
// Orders of a former leader might have brought that member back, or the head.
func (x *index) isBroken(r *replica) bool {
	return !r.account.inherited && slices.ContainsFunc(r.mem.members[1:], func(h *host) bool {
		m := r.account.member(h.id)
		if m.left.at.IsZero() || m.left.sent.Before(m.answeredAt) || x.mayReturn(m) {
			return false
		}
		since := m.left.at
		if r.account.openedAt.After(since) {
			since = r.account.openedAt
		}
		return x.now.Sub(since) > x.policy.StallTime
	})
}

// indexHeld lists, for each host, the released replicas in which it may still be a member, and
// whose head may still serve.
func (x *index) indexHeld() {
	x.held = make(map[api.HostID][]*replica)
	if x.mem.assumesOrders {
		return
	}
	for _, r := range x.replicas {
		if r.Phase != api.GroupReleasing || !r.isShared() || x.hasFinished(r) {
			continue
		}
		for _, h := range r.mem.members {
			if !x.isOut(r, h) {
				x.held[h.id] = append(x.held[h.id], r)
			}
		}
	}
}
