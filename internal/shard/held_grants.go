package shard

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// HeldGrants is the set of grants that one entry holds. It is the entry side's
// counterpart of Core: deterministic, without I/O, and not safe for concurrent
// use.
type HeldGrants struct {
	grants map[string]*heldGrant
	// reportStarted is the newest term for which a report was started, by shard.
	// A grant of an older term that arrives later must not be used.
	reportStarted map[api.ShardID]term
	// acknowledged is the newest term whose owner accepted a report.
	acknowledged map[api.ShardID]term
}

// heldGrant is a grant in use by this entry.
type heldGrant struct {
	grant   api.Grant
	expires time.Time
	// ended is closed when the request must stop.
	ended chan struct{}
	// stopped is set once ended is closed.
	stopped bool
	// abandoned is set when the work may continue without this entry. The grant
	// is no longer renewed, but it is reported to a new owner.
	abandoned bool
}

// stop signals the request of the grant to stop.
func (h *heldGrant) stop() {
	if !h.stopped {
		h.stopped = true
		close(h.ended)
	}
}

// NewHeldGrants returns an empty set.
func NewHeldGrants() *HeldGrants {
	return &HeldGrants{
		grants:        map[string]*heldGrant{},
		reportStarted: map[api.ShardID]term{},
		acknowledged:  map[api.ShardID]term{},
	}
}

// grantKey returns a key that identifies a grant across all shards.
func grantKey(g api.Grant) string { return g.Shard.String() + "#" + g.ID }

// Add adds a grant whose acquire call was sent at the given time. It reports
// false for a grant that must not be used: it has already expired, or a report
// to a newer owner, which does not list the grant, was started.
func (h *HeldGrants) Add(now, sent time.Time, g api.Grant) bool {
	expires := sent.Add(time.Duration(g.ExpiresMillis) * time.Millisecond)
	if termOf(g).before(h.reportStarted[g.Shard]) || !now.Before(expires) {
		return false
	}
	h.grants[grantKey(g)] = &heldGrant{grant: g, expires: expires, ended: make(chan struct{})}
	return true
}

// Remove removes a grant that is settled and reports whether it was held.
func (h *HeldGrants) Remove(g api.Grant) bool {
	key := grantKey(g)
	if h.grants[key] == nil {
		return false
	}
	delete(h.grants, key)
	return true
}

// Valid reports whether the grant may be used now.
func (h *HeldGrants) Valid(now time.Time, g api.Grant) bool {
	held := h.grants[grantKey(g)]
	return held != nil && !held.stopped && now.Before(held.expires)
}

// Ended returns the channel that is closed when the request must stop, or nil.
func (h *HeldGrants) Ended(g api.Grant) <-chan struct{} {
	if held := h.grants[grantKey(g)]; held != nil {
		return held.ended
	}
	return nil
}

// Revoke stops the request of a grant. The grant stays held until it is
// settled.
func (h *HeldGrants) Revoke(g api.Grant) {
	if held := h.grants[grantKey(g)]; held != nil {
		held.stop()
	}
}

// Abandon stops the request of a grant and lets the grant expire.
func (h *HeldGrants) Abandon(g api.Grant) {
	if held := h.grants[grantKey(g)]; held != nil {
		held.stop()
		held.abandoned = true
	}
}

// Expire removes every expired grant and stops its request.
func (h *HeldGrants) Expire(now time.Time) {
	for key, held := range h.grants {
		if !now.Before(held.expires) {
			delete(h.grants, key)
			held.stop()
		}
	}
}

// needsReport reports whether the owner of a term has not yet accepted a
// report.
func (h *HeldGrants) needsReport(id api.ShardID, t term) bool {
	return h.acknowledged[id].before(t)
}

// Shards returns the shards with a held grant.
func (h *HeldGrants) Shards() map[api.ShardID]bool {
	shards := make(map[api.ShardID]bool, len(h.grants))
	for _, held := range h.grants {
		shards[held.grant.Shard] = true
	}
	return shards
}

// beginReport returns the held grants of a shard to report to the owner of a
// term. From then on, Add rejects grants of older terms.
func (h *HeldGrants) beginReport(id api.ShardID, t term) []api.Grant {
	if h.reportStarted[id].before(t) {
		h.reportStarted[id] = t
	}
	grants := []api.Grant{}
	for _, held := range h.grants {
		if held.grant.Shard == id && (!held.abandoned || termOf(held.grant).before(t)) {
			grants = append(grants, held.grant)
		}
	}
	sortGrants(grants)
	return grants
}

// applyReport applies the owner's response to a report sent at the given time:
// it extends the renewed grants, and removes and stops the refused ones.
func (h *HeldGrants) applyReport(id api.ShardID, t term, grants []api.Grant, res api.ReportResponse, sent time.Time) {
	if h.acknowledged[id].before(t) {
		h.acknowledged[id] = t
	}
	refused := make(map[string]bool, len(res.Refused))
	for _, id := range res.Refused {
		refused[id] = true
	}
	expires := sent.Add(time.Duration(res.RenewMillis) * time.Millisecond)
	for _, g := range grants {
		key := grantKey(g)
		held := h.grants[key]
		if held == nil {
			continue
		}
		if refused[g.ID] {
			delete(h.grants, key)
			held.stop()
			continue
		}
		if expires.After(held.expires) && !held.abandoned {
			held.expires = expires
		}
	}
}
