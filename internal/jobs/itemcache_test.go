package jobs

import (
	"strconv"
	"testing"

	"github.com/onsi/gomega"
)

// Answers readers of many large jobs: the cache keeps the newest within its bytes, and
// none that is larger than that.
func TestItemCacheIsBoundedByBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newItemCache()
	items := func(n int) []Item { return []Item{{Body: make([]byte, n)}} }
	for i := range 10 {
		c.put(strconv.Itoa(i), items(maxCachedBytes/4))
	}
	c.put("huge", items(maxCachedBytes+1))
	for i := range 10 {
		_, ok := c.get(strconv.Itoa(i))
		g.Expect(ok).To(gomega.Equal(i >= 6), strconv.Itoa(i))
	}
	_, ok := c.get("huge")
	g.Expect(ok).To(gomega.BeFalse())
	for i := range 2 * maxCachedJobs {
		c.put("small "+strconv.Itoa(i), items(1))
	}
	g.Expect(len(c.order)).To(gomega.Equal(maxCachedJobs))
	g.Expect(c.bytes).To(gomega.Equal(maxCachedJobs))
}
