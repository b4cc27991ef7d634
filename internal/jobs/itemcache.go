package jobs

import "sync"

const (
	// maxCachedJobs is the number of jobs whose items are cached for readers. A job
	// of ten items takes about 20 KB.
	maxCachedJobs = 32
	// maxCachedBytes bounds the bodies of the cached items. A job that exceeds it alone
	// is not cached.
	maxCachedBytes = 8 << 20
)

// itemCache holds the items of recently read jobs, keyed by object name, and
// evicts the oldest entry first. Objects are immutable, so that entries never
// go stale.
type itemCache struct {
	mu    sync.Mutex
	items map[string][]Item
	order []string
	bytes int
}

func newItemCache() *itemCache { return &itemCache{items: make(map[string][]Item)} }

func (c *itemCache) get(object string) ([]Item, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	items, ok := c.items[object]
	return items, ok
}

func (c *itemCache) put(object string, items []Item) {
	size := bodyBytes(items)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.items[object]; ok || size > maxCachedBytes {
		return
	}
	c.items[object] = items
	c.order = append(c.order, object)
	c.bytes += size
	for len(c.order) > maxCachedJobs || c.bytes > maxCachedBytes {
		c.bytes -= bodyBytes(c.items[c.order[0]])
		delete(c.items, c.order[0])
		c.order = c.order[1:]
	}
}

func bodyBytes(items []Item) (total int) {
	for i := range items {
		total += len(items[i].Body)
	}
	return total
}
