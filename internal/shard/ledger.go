package shard

import (
	"slices"
	"strings"
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// stopRetryInterval is the time between two attempts to stop the work of an
// expired grant.
const stopRetryInterval = time.Second

// replica is the state of one replica at one generation.
type replica struct {
	group api.Group
	limit limiter
	// held is the number of outstanding grants.
	held int
	// alone is set while a grant for the whole replica is outstanding.
	alone bool
	// reserved is the ticket that waits for the replica to become idle, or 0.
	reserved uint64
	// uncertain is set while grants of an earlier owner may be unreported and
	// their number has no bound; otherwise unreported is that bound.
	uncertain  bool
	unreported int
	// listed is set while the view contains the replica.
	listed  bool
	latency latency
	prefix  prefixIndex
	load    loadReport
}

// freeSlots returns how many more requests the limit of the replica allows.
func (r *replica) freeSlots() int { return r.limit.value - r.held - r.unreported }

// isIdle reports whether no grant can be in use on the replica.
func (r *replica) isIdle() bool { return r.held == 0 && r.unreported == 0 }

// issuedGrant is one outstanding grant.
type issuedGrant struct {
	grant api.Grant
	entry api.EntryID
	// incarnation is that of the entry process.
	incarnation api.Incarnation
	replica     *replica
	granted     time.Time
	// expires is when the lifetime ends or, after that, when the next attempt to
	// stop the work is due.
	expires time.Time
	// expired is set once the lifetime has ended. The grant can't be renewed.
	expired bool
	// stopBy is when no engine can be processing the request any more.
	stopBy time.Time
	// blocks are the prefix hashes of the request.
	blocks []uint64
	// class and share are those of the account; revocable is set when the request
	// can be stopped and resumed.
	class     int
	share     int
	revocable bool
	// revokedAt is when the grant was last revoked, or zero.
	revokedAt time.Time
}

// ledger counts the outstanding grants of one shard.
type ledger struct {
	settings Settings
	replicas map[api.GroupID]*replica
	// order lists the replicas in a fixed order, for determinism.
	order    []*replica
	grants   map[string]*issuedGrant
	accounts map[api.AccountID]int
	credits  *credits
	// revokedCount is the number of revoked grants that are still outstanding.
	revokedCount int
	// settled holds the ids of grants of earlier terms that were settled, until
	// the handover ends.
	settled map[string]bool
	// nextExpiry is not after the earliest expiry of a grant.
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

// assumeUnreported assumes that earlier owners have as many grants outstanding
// on each replica as the bounds allow, and marks replicas without a bound
// uncertain.
func (l *ledger) assumeUnreported(bounds map[api.GroupID]int) {
	for _, r := range l.order {
		limit, bounded := bounds[r.group.ID]
		r.uncertain = !bounded
		r.unreported = limit
	}
}

// adopt counts a reported grant of an earlier owner.
func (l *ledger) adopt(ig *issuedGrant) {
	l.add(ig)
	ig.replica.unreported = max(0, ig.replica.unreported-1)
}

// clearUnreported ends the assumption of unreported grants after the handover.
func (l *ledger) clearUnreported() {
	clear(l.settled)
	for _, r := range l.replicas {
		r.uncertain = false
		r.unreported = 0
	}
}

// add counts a grant.
func (l *ledger) add(ig *issuedGrant) {
	l.grants[ig.grant.ID] = ig
	l.accounts[ig.grant.Account]++
	l.credits.open(ig.grant.Account, ig.share)
	ig.replica.held++
	if l.nextExpiry.IsZero() || ig.expires.Before(l.nextExpiry) {
		l.nextExpiry = ig.expires
	}
	if ig.grant.Alone {
		ig.replica.alone = true
	}
}

// remove removes a grant from the count. It reports false for a grant that is
// not counted, so that a second settlement frees no slot.
func (l *ledger) remove(id string) (*issuedGrant, bool) {
	ig, ok := l.grants[id]
	if !ok {
		return nil, false
	}
	delete(l.grants, id)
	l.accounts[ig.grant.Account]--
	if l.accounts[ig.grant.Account] == 0 {
		delete(l.accounts, ig.grant.Account)
	}
	ig.replica.held--
	if !ig.revokedAt.IsZero() {
		l.revokedCount--
	}
	if ig.grant.Alone {
		ig.replica.alone = false
	}
	return ig, true
}

// expire returns the expired grants whose work must be stopped on the engine.
// They stay counted until they are settled, or until no engine can be
// processing them any more.
func (l *ledger) expire(now time.Time) []api.Grant {
	if !now.After(l.nextExpiry) {
		return nil
	}
	l.nextExpiry = time.Time{}
	var out []api.Grant
	for id, ig := range l.grants {
		if now.After(ig.expires) {
			ig.expired = true
			out = append(out, ig.grant)
			ig.expires = now.Add(stopRetryInterval)
		}
		if ig.expired && !now.Before(ig.stopBy) {
			l.remove(id)
			continue
		}
		if l.nextExpiry.IsZero() || ig.expires.Before(l.nextExpiry) {
			l.nextExpiry = ig.expires
		}
	}
	sortGrants(out)
	return out
}

// expireEarlierIncarnations ends the lifetime of the grants that earlier
// incarnations of an entry held.
func (l *ledger) expireEarlierIncarnations(now time.Time, id api.EntryID, incarnation api.Incarnation) {
	for _, ig := range l.grants {
		if ig.entry == id && ig.incarnation < incarnation && !ig.expired {
			ig.expires = now.Add(-time.Nanosecond)
			l.nextExpiry = ig.expires
		}
	}
}

// sortGrants sorts grants by id, for determinism.
func sortGrants(grants []api.Grant) {
	slices.SortFunc(grants, func(a, b api.Grant) int { return strings.Compare(a.ID, b.ID) })
}
