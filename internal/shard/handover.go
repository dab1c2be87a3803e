package shard

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// handover tracks what a new owner does not know yet: the grants of earlier
// epochs that entries still hold.
type handover struct {
	// pending lists the entries that have not reported, with the incarnation
	// that may hold grants.
	pending map[api.EntryID]api.Incarnation
	// deadline is when every unreported grant has run out.
	deadline time.Time
	done     bool
}

func newHandover(entries []api.EntryInfo, deadline time.Time) handover {
	h := handover{pending: make(map[api.EntryID]api.Incarnation, len(entries)), deadline: deadline}
	for _, e := range entries {
		h.pending[e.ID] = e.Incarnation
	}
	return h
}

// reported marks an entry as known. A report of another incarnation says
// nothing about the grants of the one that is pending.
func (h *handover) reported(id api.EntryID, incarnation api.Incarnation) {
	if h.pending[id] == incarnation {
		delete(h.pending, id)
	}
}

// ended reports, once true for good, that nothing unreported can be left.
func (h *handover) ended(now time.Time) bool {
	if !h.done && (len(h.pending) == 0 || now.After(h.deadline)) {
		h.done = true
	}
	return h.done
}
