package engine

import "container/list"

// prefixCache is a bounded LRU of prompt blocks.
type prefixCache struct {
	limit  int
	order  *list.List // of uint64, most recently used first
	blocks map[uint64]*list.Element
	// changed is called for each block that is stored or evicted.
	changed func(kind EventKind, block uint64)
}

func newPrefixCache(limit int, changed func(EventKind, uint64)) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: make(map[uint64]*list.Element), changed: changed}
}

// match returns how many leading blocks are cached.
func (c *prefixCache) match(blocks []uint64) int {
	for i, block := range blocks {
		if _, ok := c.blocks[block]; !ok {
			return i
		}
	}
	return len(blocks)
}

// insert stores the blocks as the most recently used. The first blocks of a
// prompt end up in front, since a later block is useless without them.
func (c *prefixCache) insert(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		if element, ok := c.blocks[blocks[i]]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[blocks[i]] = c.order.PushFront(blocks[i])
		c.changed(EventStored, blocks[i])
	}
	for c.order.Len() > c.limit {
		last := c.order.Back()
		block := c.order.Remove(last).(uint64)
		delete(c.blocks, block)
		c.changed(EventEvicted, block)
	}
}
