package shard

import "github.com/crocusway/crocusway/internal/api"

// readyFilter keeps ready replicas outside drained domains.
type readyFilter struct{}

func (readyFilter) keep(c *choice, r *replica) bool {
	return !c.drained && r.isReady()
}

// isReady reports whether the replica is in the view, ready and not leaving.
func (r *replica) isReady() bool {
	return r.listed && r.group.Phase == api.GroupReady && !r.group.Leaving && r.group.Address != ""
}
