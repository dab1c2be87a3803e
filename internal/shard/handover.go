package shard

import (
	"time"

	"github.com/crocusway/crocusway/internal/api"
)

// handover tracks which entries may hold grants of earlier terms that they have
// not yet reported to a new owner.
type handover struct {
	// pending holds the entries that have not reported, with the incarnation that
	// may hold grants.
	pending map[api.EntryID]api.Incarnation
	// deadline is when every unreported grant has expired.
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

// reported records the report of an entry. A report of another incarnation does
// not cover the grants of the pending one.
func (h *handover) reported(id api.EntryID, incarnation api.Incarnation) {
	if h.pending[id] == incarnation {
		delete(h.pending, id)
	}
}

// ended reports whether no unreported grant can be in use. Once true, it stays
// true.
func (h *handover) ended(now time.Time) bool {
	if !h.done && (len(h.pending) == 0 || now.After(h.deadline)) {
		h.done = true
	}
	return h.done
}
