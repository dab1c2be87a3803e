package shard

import "github.com/crocusway/crocusway/internal/api"

// term identifies one owner process of a shard. Terms are ordered: a later
// owner has a higher epoch, or the same epoch and a higher incarnation.
type term struct {
	epoch       api.Revision
	incarnation api.Incarnation
}

// before reports whether t is an earlier term than other.
func (t term) before(other term) bool {
	if t.epoch != other.epoch {
		return t.epoch < other.epoch
	}
	return t.incarnation < other.incarnation
}

// termOf returns the term in which a grant was issued.
func termOf(g api.Grant) term { return term{epoch: g.Epoch, incarnation: g.OwnerIncarnation} }
