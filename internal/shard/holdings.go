package shard

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// Holdings is what one entry knows of the grants it holds. It is the entry
// side's counterpart of Core: deterministic, without I/O, and not safe for
// concurrent use.
type HeldGrants struct {
	held map[string]*heldGrant
	// announced is the newest term for which a report was begun, by shard. A
	// grant of an older term that arrives later must not be used.
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
	// abandoned is set when the work may go on without this entry. The grant is
	// not renewed any more, but a new owner is told of it.
	abandoned bool
}

// stop tells the user of the grant to stop.
func (h *heldGrant) stop() {
	if !h.stopped {
		h.stopped = true
		close(h.ended)
	}
}

// NewHoldings returns an entry's state without grants.
func NewHeldGrants() *HeldGrants {
	return &HeldGrants{
		held:          map[string]*heldGrant{},
		reportStarted: map[api.ShardID]term{},
		acknowledged:  map[api.ShardID]term{},
	}
}

// holdKey identifies a grant over all shards.
func grantKey(g api.Grant) string { return g.Shard.String() + "#" + g.ID }

// Add enters a grant whose acquire call was sent at a moment. It reports false
// for a grant that must not be used: a newer owner was already told what this
// entry holds, or the lifetime has run out on the way.
func (h *HeldGrants) Add(now, sent time.Time, g api.Grant) bool {
	expires := sent.Add(time.Duration(g.ExpiresMillis) * time.Millisecond)
	if termOf(g).before(h.reportStarted[g.Shard]) || !now.Before(expires) {
		return false
	}
	h.held[grantKey(g)] = &heldGrant{grant: g, expires: expires, ended: make(chan struct{})}
	return true
}

// Remove forgets a grant that is given back or left to expire.
func (h *HeldGrants) Remove(g api.Grant) bool {
	key := grantKey(g)
	if h.held[key] == nil {
		return false
	}
	delete(h.held, key)
	return true
}

// Valid reports whether the grant may be used now.
func (h *HeldGrants) Valid(now time.Time, g api.Grant) bool {
	held := h.held[grantKey(g)]
	return held != nil && !held.stopped && now.Before(held.expires)
}

// Ended returns the channel that is closed when the request must stop, or nil.
func (h *HeldGrants) Ended(g api.Grant) <-chan struct{} {
	if held := h.held[grantKey(g)]; held != nil {
		return held.ended
	}
	return nil
}

// Revoke stops the request of a grant, which stays held until it is settled.
func (h *HeldGrants) Revoke(g api.Grant) {
	if held := h.held[grantKey(g)]; held != nil {
		held.stop()
	}
}

// Abandon leaves a grant to expire.
func (h *HeldGrants) Abandon(g api.Grant) {
	if held := h.held[grantKey(g)]; held != nil {
		held.stop()
		held.abandoned = true
	}
}

// Expire ends every grant whose lifetime has run out.
func (h *HeldGrants) Expire(now time.Time) {
	for key, held := range h.held {
		if !now.Before(held.expires) {
			delete(h.held, key)
			held.stop()
		}
	}
}

// owes reports whether the owner of a term has not yet accepted a report.
func (h *HeldGrants) needsReport(id api.ShardID, t term) bool {
	return h.acknowledged[id].before(t)
}

// Shards returns the shards of which a grant is held.
func (h *HeldGrants) Shards() map[api.ShardID]bool {
	shards := make(map[api.ShardID]bool, len(h.held))
	for _, held := range h.held {
		shards[held.grant.Shard] = true
	}
	return shards
}

// beginReport lists the held grants of a shard for the owner of a term. From
// here on a grant of an older term that still arrives is not used.
func (h *HeldGrants) beginReport(id api.ShardID, t term) []api.Grant {
	if h.reportStarted[id].before(t) {
		h.reportStarted[id] = t
	}
	grants := []api.Grant{}
	for _, held := range h.held {
		if held.grant.Shard == id && (!held.abandoned || termOf(held.grant).before(t)) {
			grants = append(grants, held.grant)
		}
	}
	sortGrants(grants)
	return grants
}

// applyReport applies the owner's answer to a report that was sent at a
// moment: it extends the renewed grants and ends the refused ones.
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
		held := h.held[key]
		if held == nil {
			continue
		}
		if refused[g.ID] {
			delete(h.held, key)
			held.stop()
			continue
		}
		if expires.After(held.expires) && !held.abandoned {
			held.expires = expires
		}
	}
}
