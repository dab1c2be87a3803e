package shard

// uncertainFilter drops replicas on which an unknown number of grants of an
// earlier owner may be unreported.
type uncertainFilter struct{}

func (uncertainFilter) keep(_ *choice, r *replica) bool { return !r.uncertain }
