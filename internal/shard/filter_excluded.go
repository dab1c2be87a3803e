package shard

import "slices"

// excludedFilter drops replicas that were already tried for the request.
type excludedFilter struct{}

func (excludedFilter) keep(c *choice, r *replica) bool {
	return !slices.Contains(c.request.Exclude, r.group.ID)
}
