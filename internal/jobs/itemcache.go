package jobs

import "sync"

// maxCachedJobs is the number of jobs whose items are cached for readers. A job
// of ten items takes about 20 KB.
const maxCachedJobs = 32

// itemCache holds the items of recently read jobs, keyed by object name, and
// evicts the oldest entry first. Objects are immutable, so that entries never
// go stale.
type itemCache struct {
	mu    sync.Mutex
	items map[string][]Item
	order []string
}

func newItemCache() *itemCache { return &itemCache{items: make(map[string][]Item)} }

func (c *itemCache) get(object string) ([]Item, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	items, ok := c.items[object]
	return items, ok
}

func (c *itemCache) put(object string, items []Item) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.items[object]; ok {
		return
	}
	c.items[object] = items
	c.order = append(c.order, object)
	if len(c.order) > maxCachedJobs {
		delete(c.items, c.order[0])
		c.order = c.order[1:]
	}
}
