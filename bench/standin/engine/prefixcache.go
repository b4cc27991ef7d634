package engine

import "container/list"

// prefixCache is a bounded LRU cache of prompt blocks.
type prefixCache struct {
	limit  int
	lru    *list.List // of uint64, most recently used first
	blocks map[uint64]*list.Element
	// onChange is called for each block that is stored or evicted.
	onChange func(kind EventKind, block uint64)
}

func newPrefixCache(limit int, onChange func(EventKind, uint64)) *prefixCache {
	return &prefixCache{limit: limit, lru: list.New(), blocks: make(map[uint64]*list.Element), onChange: onChange}
}

// match returns the number of leading blocks that are cached.
func (c *prefixCache) match(blocks []uint64) int {
	for i, block := range blocks {
		if _, ok := c.blocks[block]; !ok {
			return i
		}
	}
	return len(blocks)
}

// insert stores the blocks as the most recently used. Of one prompt, later blocks
// are evicted before earlier ones, since they are useless without them.
func (c *prefixCache) insert(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if element, ok := c.blocks[blocks[i]]; ok {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[blocks[i]] = c.lru.PushFront(blocks[i])
		c.onChange(EventStored, blocks[i])
	}
	for c.lru.Len() > c.limit {
		last := c.lru.Back()
		block := c.lru.Remove(last).(uint64)
		delete(c.blocks, block)
		c.onChange(EventEvicted, block)
	}
}
