package shard

// certainFilter keeps replicas whose grants are all known to this owner.
type certainFilter struct{}

func (certainFilter) keep(_ *choice, r *replica) bool { return !r.uncertain }
