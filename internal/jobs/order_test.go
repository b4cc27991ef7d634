package jobs

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func taskDue(id string, due time.Duration, tokens int64, runTime time.Duration) *itemTask {
	return &itemTask{
		job:  &ownedJob{entry: Entry{Record: Record{ID: id, Due: due}}},
		item: &Item{ID: id, Tokens: tokens}, runTime: runTime,
	}
}

func itemIDs(all []*itemTask) []string {
	var out []string
	for _, task := range all {
		out = append(out, task.item.ID)
	}
	return out
}

// Guards against a backlog in which every item is placed only after it has become
// late, which happens if items exceed the capacity for some seconds.
func TestSortPutsLateItemsLast(t *testing.T) {
	g := gomega.NewWithT(t)
	m := &meanTokenTime{perToken: 5 * time.Millisecond}
	clock := 100 * time.Second
	all := []*itemTask{
		taskDue("late", clock+time.Second, 1000, 0),
		taskDue("next", clock+8*time.Second, 1000, 0),
		taskDue("first", clock+6*time.Second, 1000, 0),
		taskDue("nearly done", clock+time.Second, 1000, 4500*time.Millisecond),
		taskDue("later", clock+2*time.Second, 1000, 0),
	}
	sortForPlacement(all, m, clock)
	g.Expect(itemIDs(all)).To(gomega.Equal([]string{"nearly done", "first", "next", "late", "later"}))
}

// Guards against an estimate that does not adapt to slower engines.
func TestMeanTokenTimeFollowsSamples(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMeanTokenTime()
	for range 60 {
		m.addSample(10*time.Second, 1000)
	}
	g.Expect(m.perToken).To(gomega.BeNumerically("~", 10*time.Millisecond, 100*time.Microsecond))
	m.addSample(time.Second, 0)
	g.Expect(m.perToken).To(gomega.BeNumerically("~", 10*time.Millisecond, 100*time.Microsecond))
}

// Guards against items that are put behind all others although they are nearly
// done: each node completes only a few items a minute, and an estimate that starts
// too high and adapts slowly took them for late. On a day with bursts, when items
// ran in turns, half of the slot time went to items that were dropped midway.
func TestItemsInProgressAreNotTakenForLate(t *testing.T) {
	g := gomega.NewWithT(t)
	m := newMeanTokenTime()
	const tokens, total = 2350, 6 * time.Second
	clock := 100 * time.Second
	halfDone := taskDue("half done", clock+total*3/4, tokens, total/2)
	g.Expect(m.canMeetDue(halfDone, clock)).To(gomega.BeTrue(), "before any item has completed")
	m.addSample(total, tokens)
	nearlyDone := taskDue("nearly done", clock+total/4, tokens, total*9/10)
	g.Expect(m.canMeetDue(nearlyDone, clock)).To(gomega.BeTrue(), "after one item")
	g.Expect(m.canMeetDue(taskDue("late", clock+total/2, tokens, 0), clock)).To(gomega.BeFalse())
}
