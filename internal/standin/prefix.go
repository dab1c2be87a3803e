package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the size of a prompt block, BytesPerToken that of a prompt token,
// in bytes.
const (
	BlockBytes    = 64
	BytesPerToken = 4
)

// prefixCache is an LRU cache of the hashes of prompt prefixes.
type prefixCache struct {
	limit int
	order *list.List
	items map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), items: make(map[uint64]*list.Element)}
}

// blockHashes returns the hash of every prefix that ends with a whole block.
func blockHashes(prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/BlockBytes)
	for end := BlockBytes; end <= len(prompt); end += BlockBytes {
		hashes = append(hashes, xxhash.Sum64String(prompt[:end]))
	}
	return hashes
}

// visit returns the number of leading blocks that were cached and adds all blocks.
func (c *prefixCache) visit(hashes []uint64) int {
	hits := 0
	for i, hash := range hashes {
		e, ok := c.items[hash]
		if ok {
			c.order.MoveToFront(e)
			if hits == i {
				hits++
			}
			continue
		}
		c.items[hash] = c.order.PushFront(hash)
		c.evict()
	}
	return hits
}

func (c *prefixCache) evict() {
	if c.order.Len() <= c.limit {
		return
	}
	last := c.order.Back()
	c.order.Remove(last)
	delete(c.items, last.Value.(uint64))
}
