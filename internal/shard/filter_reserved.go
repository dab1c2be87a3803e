package shard

// reservedFilter drops replicas that are kept for, or used by, a request that
// runs alone.
type reservedFilter struct{}

func (reservedFilter) keep(c *choice, r *replica) bool {
	if r.alone {
		return false
	}
	return r.reserved == 0 || r.reserved == c.ticket
}
