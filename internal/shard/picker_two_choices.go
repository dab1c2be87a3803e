package shard

// twoChoicesPicker picks the better of two candidates: a random one, and the
// one with the longest cached prefix or else another random one.
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

// longestPrefix returns the candidate that likely caches the longest prefix of
// the prompt, or nil.
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
