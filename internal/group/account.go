package group

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// This file keeps the account of what the hosts of a shared replica may still do. A host joins
// another replica only once it is out of every earlier one whose head may serve. What it
// announces proves that for no replica: announcements arrive late and in any order. A host
// is out once it has acknowledged the order to leave in its present incarnation: orders of
// former leaders are refused after that, as they have an older term.
//
// Restarts clear what a host refuses, so that the acknowledgement of a former incarnation counts
// for nothing.

// replicaAccount is the account of one shared replica, from its forming to its end.
type replicaAccount struct {
	// inherited is set if former leaders may have sent orders to the members.
	inherited bool
	members   map[api.HostID]*memberAccount
}

// memberAccount is what a leader knows of one member.
type memberAccount struct {
	// answeredAt is when an order to join was answered last.
	answeredAt time.Time
	left       departure
}

// departure is an acknowledged order to leave.
type departure struct {
	sent time.Time
	// incarnation and sequence are those of the newest announcement of the host when the order
	// was sent and when its answer was recorded.
	incarnation api.Incarnation
	sequence    uint64
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

// observe records an announcement that is newer than the last one: a late order may have brought
// the host back, or the announcement is older than the departure.
func (m *memberAccount) observe(h *host, group api.GroupID) {
	if h.status == nil || h.stale || h.group != group {
		return
	}
	if m.left.incarnation == h.incarnation && h.sequence > m.left.sequence {
		m.left = departure{}
	}
}

// hasLeft reports whether a host acknowledged an order to leave in its present incarnation, which
// was sent after every answer to an order to join.
func (m *memberAccount) hasLeft(h *host) bool {
	return m.left.incarnation != 0 && m.left.incarnation == h.incarnation && !m.left.sent.Before(m.answeredAt)
}

// hasFinished reports whether the head of a released replica has left it.
func (x *index) hasFinished(r *replica) bool {
	head := r.mem.members[0]
	return head.assign == nil || head.assign.Group != r.ID || r.account.member(head.id).hasLeft(head)
}

// indexHeld lists, for each host, the released replicas in which it may still be a member, and
// whose head may still serve.
func (x *index) indexHeld() {
	x.held = make(map[api.HostID][]*replica)
	for _, r := range x.replicas {
		if r.Phase != api.GroupReleasing || !r.isShared() || x.hasFinished(r) {
			continue
		}
		for _, h := range r.mem.members {
			if !r.account.member(h.id).hasLeft(h) {
				x.held[h.id] = append(x.held[h.id], r)
			}
		}
	}
}
