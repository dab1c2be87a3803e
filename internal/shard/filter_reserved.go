package shard

// reservedFilter drops replicas that run a request alone or are reserved for
// another request that must run alone.
type reservedFilter struct{}

func (reservedFilter) keep(c *choice, r *replica) bool {
	if r.alone {
		return false
	}
	return r.reserved == 0 || r.reserved == c.ticket
}
