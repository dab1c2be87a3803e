package shard

import (
	"slices"
	"strings"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// stopRepeat is the time after which the work of an expired grant is stopped
// again.
const stopRetryInterval = time.Second

// replica is the state of one replica at one generation.
type replica struct {
	group api.Group
	limit limiter
	// held is the number of grants outstanding.
	held int
	// alone is set while a grant that asked for the whole replica is held.
	alone bool
	// reserved is the ticket that waits for the replica to become idle, or 0.
	reserved uint64
	// uncertain is set while grants of an earlier owner may be unreported and
	// nothing bounds their number; otherwise unreported is the most of them.
	uncertain  bool
	unreported int
	// listed is set while the view contains the replica.
	listed  bool
	latency latency
	prefix  prefixIndex
	load    loadReport
}

// free returns the number of further requests that the replica bears.
func (r *replica) freeSlots() int { return r.limit.value - r.held - r.unreported }

// isIdle reports whether nothing can run on the replica.
func (r *replica) isIdle() bool { return r.held == 0 && r.unreported == 0 }

// hold is one grant outstanding.
type issuedGrant struct {
	grant api.Grant
	entry api.EntryID
	// incarnation is that of the entry process.
	incarnation api.Incarnation
	replica     *replica
	granted     time.Time
	// expires is when the lifetime runs out, or, once it has, when the work is
	// stopped again.
	expires time.Time
	// lapsed is set once the lifetime has run out. The grant is not renewed.
	expired bool
	// stopBy is when no engine can work on the request any more.
	stopBy time.Time
	// blocks are the prefix hashes of the request.
	blocks []uint64
	// class and share are those of the account; revocable is set when the
	// request can be stopped and resumed.
	class     int
	share     int
	revocable bool
	// revokedAt is when the grant was last asked back, or zero.
	revokedAt time.Time
}

// ledger counts the grants of one shard.
type ledger struct {
	settings Settings
	replicas map[api.GroupID]*replica
	// order lists the replicas in a fixed order, for determinism.
	order    []*replica
	grants   map[string]*issuedGrant
	accounts map[api.AccountID]int
	credits  *credits
	// revoked counts the grants that were asked back and are still held.
	revokedCount int
	// settled remembers grants that were given back before they were reported
	// to this owner, until the handover ends.
	settled map[string]bool
	// nextExpiry is not after the earliest expiry of a hold.
	nextExpiry time.Time
}

func newLedger(settings Settings, now time.Time) *ledger {
	return &ledger{
		settings: settings,
		replicas: map[api.GroupID]*replica{},
		grants:   map[string]*issuedGrant{},
		accounts: map[api.AccountID]int{},
		credits:  newCredits(settings.ShareCredit, now),
		settled:  map[string]bool{},
	}
}

// update applies the replicas of the view.
func (l *ledger) update(groups []*api.Group) {
	for _, r := range l.order {
		r.listed = false
	}
	for _, g := range groups {
		l.updateGroup(g)
	}
	l.order = l.order[:0]
	for _, g := range groups {
		l.order = append(l.order, l.replicas[g.ID])
	}
	for id, r := range l.replicas {
		if !r.listed && r.held == 0 {
			delete(l.replicas, id)
		}
	}
}

func (l *ledger) updateGroup(g *api.Group) {
	r := l.replicas[g.ID]
	if r == nil || r.group.Fencing != g.Fencing {
		r = &replica{limit: newLimiter(g, l.settings.DefaultWarmLoad)}
		l.replicas[g.ID] = r
	}
	r.limit.announce(g, l.settings.DefaultWarmLoad)
	r.group = *g
	r.listed = true
}

// inherit marks all replicas as possibly used by an earlier owner, which granted
// no more than the bounds.
func (l *ledger) assumeUnreported(bounds map[api.GroupID]int) {
	for _, r := range l.order {
		limit, bounded := bounds[r.group.ID]
		r.uncertain = !bounded
		r.unreported = limit
	}
}

// adopt counts a grant of an earlier owner.
func (l *ledger) adopt(h *issuedGrant) {
	l.add(h)
	h.replica.unreported = max(0, h.replica.unreported-1)
}

// settleInheritance forgets what was not reported, once it has run out.
func (l *ledger) clearUnreported() {
	clear(l.settled)
	for _, r := range l.replicas {
		r.uncertain = false
		r.unreported = 0
	}
}

// add counts a grant.
func (l *ledger) add(h *issuedGrant) {
	l.grants[h.grant.ID] = h
	l.accounts[h.grant.Account]++
	l.credits.open(h.grant.Account, h.share)
	h.replica.held++
	if l.nextExpiry.IsZero() || h.expires.Before(l.nextExpiry) {
		l.nextExpiry = h.expires
	}
	if h.grant.Alone {
		h.replica.alone = true
	}
}

// remove counts a grant out. It reports false for a grant that is not held, so
// that a second settlement frees nothing.
func (l *ledger) remove(id string) (*issuedGrant, bool) {
	h, ok := l.grants[id]
	if !ok {
		return nil, false
	}
	delete(l.grants, id)
	l.accounts[h.grant.Account]--
	if l.accounts[h.grant.Account] == 0 {
		delete(l.accounts, h.grant.Account)
	}
	h.replica.held--
	if !h.revokedAt.IsZero() {
		l.revokedCount--
	}
	if h.grant.Alone {
		h.replica.alone = false
	}
	return h, true
}

// expire returns the grants whose lifetime has run out and whose work must be
// stopped on the engine. They stay counted until that is confirmed, or until
// no engine can work on them any more.
func (l *ledger) expire(now time.Time) []api.Grant {
	if !now.After(l.nextExpiry) {
		return nil
	}
	l.nextExpiry = time.Time{}
	var out []api.Grant
	for id, h := range l.grants {
		if now.After(h.expires) {
			h.expired = true
			out = append(out, h.grant)
			h.expires = now.Add(stopRetryInterval)
		}
		if h.expired && !now.Before(h.stopBy) {
			l.remove(id)
			continue
		}
		if l.nextExpiry.IsZero() || h.expires.Before(l.nextExpiry) {
			l.nextExpiry = h.expires
		}
	}
	sortGrants(out)
	return out
}

// lapseOlder ends the lifetime of grants that earlier processes of an entry
// held.
func (l *ledger) expireEarlierIncarnations(now time.Time, id api.EntryID, incarnation api.Incarnation) {
	for _, h := range l.grants {
		if h.entry == id && h.incarnation < incarnation && !h.expired {
			h.expires = now.Add(-time.Nanosecond)
			l.nextExpiry = h.expires
		}
	}
}

// sortGrants orders grants by id, so that the core is deterministic.
func sortGrants(grants []api.Grant) {
	slices.SortFunc(grants, func(a, b api.Grant) int { return strings.Compare(a.ID, b.ID) })
}
