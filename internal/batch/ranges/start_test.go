package ranges

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/batch"
)

// Guards against a node that takes more ranges than it can work on, and
// against one whose large range of one job keeps every other job waiting.
func TestWant(t *testing.T) {
	g := gomega.NewWithT(t)
	cfg := batch.DefaultConfig()
	g.Expect(Node{}.Want(cfg)).To(gomega.Equal(WantAny))
	g.Expect(Node{Open: 1, Loading: 1}.Want(cfg)).To(gomega.Equal(WantNone))
	g.Expect(Node{Open: 1, Unstarted: cfg.Window - 1}.Want(cfg)).To(gomega.Equal(WantAny))
	g.Expect(Node{Open: 1, Unstarted: cfg.Window}.Want(cfg)).To(gomega.Equal(WantOther))
	g.Expect(Node{Open: 1, Running: cfg.Window}.Want(cfg)).To(gomega.Equal(WantOther))
	g.Expect(Node{Open: cfg.OpenRanges}.Want(cfg)).To(gomega.Equal(WantNone))
	g.Expect(Node{Stopping: true}.Want(cfg)).To(gomega.Equal(WantNone))
}

// Guards against an organisation that starves another one at the same node,
// against a later due time that goes first, and against long items that are
// left to the end.
func TestPickStart(t *testing.T) {
	now := time.Unix(100_000, 0)
	cfg := batch.DefaultConfig()
	due := now.Add(time.Hour)
	for name, c := range map[string]struct {
		heads []Head
		want  int
	}{
		"longest first":            {[]Head{{Expected: 1}, {Expected: 5}}, 1},
		"fewest running first":     {[]Head{{Expected: 9, Running: 4, Weight: 1}, {Expected: 1, Running: 1, Weight: 1}}, 1},
		"weighted":                 {[]Head{{Running: 4, Weight: 3}, {Running: 2, Weight: 1}}, 0},
		"due before share":         {[]Head{{Running: 9, Weight: 1, Due: due}, {Weight: 1, Due: due.Add(2 * time.Hour)}}, 0},
		"held long before all":     {[]Head{{Expected: 9, Due: due, Since: now}, {Due: due.Add(time.Hour), Since: now.Add(-cfg.SplitAfter)}}, 1},
		"taken over before all":    {[]Head{{Expected: 9, Since: now}, {Since: now, TakenOver: true}}, 1},
		"nothing can be started":   {nil, -1},
		"same due, shares compare": {[]Head{{Running: 2, Weight: 1, Due: due}, {Running: 1, Weight: 1, Due: due.Add(time.Second)}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range c.heads {
				if c.heads[i].Since.IsZero() {
					c.heads[i].Since = now
				}
			}
			gomega.NewWithT(t).Expect(PickStart(c.heads, now, cfg)).To(gomega.Equal(c.want))
		})
	}
}
