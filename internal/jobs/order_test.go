package jobs

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func workDue(id string, due time.Duration, tokens int64, ran time.Duration) *work {
	return &work{
		job:  &ownedJob{entry: Entry{Record: Record{ID: id, Due: due}}},
		item: &Item{ID: id, Tokens: tokens}, ran: ran,
	}
}

func ids(all []*work) []string {
	var out []string
	for _, w := range all {
		out = append(out, w.item.ID)
	}
	return out
}

// Guards against a backlog in which each item is placed when it is late already:
// more work than room for some seconds, as in the second half of the heavy days.
func TestLateItemsWaitForThoseInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	p := &pace{perToken: 5 * time.Millisecond}
	clock := 100 * time.Second
	all := []*work{
		workDue("late", clock+time.Second, 1000, 0),
		workDue("next", clock+8*time.Second, 1000, 0),
		workDue("first", clock+6*time.Second, 1000, 0),
		workDue("nearly done", clock+time.Second, 1000, 4500*time.Millisecond),
		workDue("later", clock+2*time.Second, 1000, 0),
	}
	sortWork(all, p, clock)
	g.Expect(ids(all)).To(gomega.Equal([]string{"nearly done", "first", "next", "late", "later"}))
}

// Guards against an estimate that does not follow slower engines.
func TestPaceFollowsItems(t *testing.T) {
	g := gomega.NewWithT(t)
	p := newPace()
	for range 60 {
		p.learn(10*time.Second, 1000)
	}
	g.Expect(p.perToken).To(gomega.BeNumerically("~", 10*time.Millisecond, 100*time.Microsecond))
	p.learn(time.Second, 0)
	g.Expect(p.perToken).To(gomega.BeNumerically("~", 10*time.Millisecond, 100*time.Microsecond))
}
