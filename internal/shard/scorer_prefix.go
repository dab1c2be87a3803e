package shard

import "time"

const (
	// prefixAge is the time after which a recorded block is assumed evicted.
	prefixAge = 2 * time.Minute
	// prefixBlocks is the maximum number of recorded blocks of one replica.
	prefixBlocks = 2048
)

// prefixIndex records which prompt blocks a replica has processed. It is a
// hint: blocks expire, the oldest are evicted, and a failed request clears the
// index.
type prefixIndex struct {
	lastSeen map[uint64]time.Time
	ring     []uint64
	next     int
}

// add records the blocks of a request.
func (p *prefixIndex) add(now time.Time, blocks []uint64) {
	if len(blocks) > 0 && p.lastSeen == nil {
		p.lastSeen = make(map[uint64]time.Time, len(blocks))
	}
	for _, b := range blocks {
		if _, ok := p.lastSeen[b]; !ok {
			p.push(b)
		}
		p.lastSeen[b] = now
	}
}

// push adds a new block and evicts the oldest one when the ring is full.
func (p *prefixIndex) push(b uint64) {
	if len(p.ring) < prefixBlocks {
		p.ring = append(p.ring, b)
		return
	}
	delete(p.lastSeen, p.ring[p.next])
	p.ring[p.next] = b
	p.next = (p.next + 1) % prefixBlocks
}

// match returns the number of leading blocks that the replica likely caches.
func (p *prefixIndex) match(now time.Time, blocks []uint64) int {
	for i := len(blocks) - 1; i >= 0; i-- {
		at, ok := p.lastSeen[blocks[i]]
		if ok && now.Sub(at) <= prefixAge {
			return i + 1
		}
	}
	return 0
}

// prefixScorer scores the part of the prompt's blocks that the replica likely
// caches: 0 for none, 1 for all.
type prefixScorer struct{}

func (prefixScorer) score(c *choice, r *replica) float64 {
	blocks := c.request.PrefixHashes
	if len(blocks) == 0 {
		return 0
	}
	return float64(r.prefix.match(c.now, blocks)) / float64(len(blocks))
}
