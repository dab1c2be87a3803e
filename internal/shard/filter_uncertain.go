package shard

// certainFilter keeps replicas whose grants are all known to this owner.
type uncertainFilter struct{}

func (uncertainFilter) keep(_ *choice, r *replica) bool { return !r.uncertain }
