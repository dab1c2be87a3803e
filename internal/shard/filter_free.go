package shard

// freeFilter keeps replicas with a free slot; a request that must run alone
// needs an idle replica.
type freeFilter struct{}

func (freeFilter) keep(c *choice, r *replica) bool {
	if c.request.Alone {
		return r.isIdle()
	}
	return r.freeSlots() > 0
}
