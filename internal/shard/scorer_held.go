package shard

// heldScorer scores the free part of the limit: 1 for an idle replica, 0 for a
// full one. It uses the owner's exact count.
type heldScorer struct{}

func (heldScorer) score(_ *choice, r *replica) float64 {
	if r.limit.value <= 0 {
		return 0
	}
	return max(0, float64(r.freeSlots())/float64(r.limit.value))
}
