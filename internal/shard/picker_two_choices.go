package shard

// twoChoicesPicker takes the better of two candidates: one at random, the
// other the one with the longest cached prefix, or a second at random.
type twoChoicesPicker struct{}

func (twoChoicesPicker) pick(c *choice, candidates []*replica, score func(*replica) float64) *replica {
	first := candidates[c.rand.IntN(len(candidates))]
	second := longestPrefix(c, candidates)
	if second == nil {
		second = candidates[c.rand.IntN(len(candidates))]
	}
	if score(second) > score(first) {
		return second
	}
	return first
}

// longestPrefix returns the candidate that likely caches most, or nil.
func longestPrefix(c *choice, candidates []*replica) *replica {
	if len(c.request.PrefixHashes) == 0 {
		return nil
	}
	var best *replica
	longest := 0
	for _, r := range candidates {
		if n := r.prefix.match(c.now, c.request.PrefixHashes); n > longest {
			best, longest = r, n
		}
	}
	return best
}
