package owner

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
)

// bench drives one ledger with named requests.
type bench struct {
	*Ledger
	now  time.Time
	next int
}

func newBench(limits Limits) *bench {
	return &bench{Ledger: NewLedger("r", limits), now: time.Unix(1_000_000, 0)}
}

// warm teaches the ledger an average service time of one second.
func (b *bench) warm() {
	for range 20 {
		d := b.ask(Request{Org: "warm"})
		b.now = b.now.Add(time.Second)
		b.Release(d, Outcome{Completed: true}, b.now)
	}
}

func (b *bench) ask(r Request) core.ReservationID {
	b.next++
	r.ID = core.ReservationID(fmt.Sprint(b.next))
	r.Holder = "a"
	b.Reserve(r, b.now)
	return r.ID
}

// finish releases a held reservation and returns the waiter that got the slot.
func (b *bench) finish(id core.ReservationID) core.ReservationID {
	for _, e := range b.Release(id, Outcome{Completed: true}, b.now) {
		if e.Kind == EventGranted {
			return e.ID
		}
	}
	return ""
}

// Guards against an organisation that gets more than its weighted share, by
// more than a constant, by sending more requests than another.
func TestSharesFollowWeights(t *testing.T) {
	g := NewWithT(t)
	b := newBench(Limits{Slots: 1, QueueLimit: 1000})
	b.warm()
	held := b.ask(Request{Org: "light", Weight: 1})
	orgs := map[core.ReservationID]core.Org{}
	for range 300 {
		orgs[b.ask(Request{Org: "light", Weight: 1})] = "light"
	}
	for range 100 {
		orgs[b.ask(Request{Org: "heavy", Weight: 3})] = "heavy"
	}
	got := map[core.Org]int{}
	for i := 1; i <= 100; i++ {
		b.now = b.now.Add(time.Second)
		held = b.finish(held)
		got[orgs[held]]++
		g.Expect(float64(got["heavy"])).To(BeNumerically("~", 0.75*float64(i), 3*fairnessQuantum))
	}
}

// Guards against short requests that wait behind long ones, and against long
// ones that starve behind a stream of short ones.
func TestShortFirstWithAgeing(t *testing.T) {
	g := NewWithT(t)
	b := newBench(Limits{Slots: 1, QueueLimit: 1000})
	b.warm()
	held := b.ask(Request{Tokens: 10})
	for range 200 {
		b.ask(Request{Tokens: 10, NoWait: true}) // the average length is 10
	}
	long := b.ask(Request{Tokens: 100})
	short := b.ask(Request{Tokens: 10})
	held = b.finish(held)
	g.Expect(held).To(Equal(short))
	served := 0
	for held != long {
		b.ask(Request{Tokens: 10})
		b.now = b.now.Add(time.Second)
		held = b.finish(held)
		served++
		g.Expect(served).To(BeNumerically("<", 30), "the long request starves")
	}
	g.Expect(served).To(BeNumerically(">", 3))
}

// Guards against long requests that take all slots of a replica, and against
// batch work in a slot kept from them.
func TestLongRequestsLeaveSlots(t *testing.T) {
	g := NewWithT(t)
	b := newBench(Limits{Slots: 4, QueueLimit: 10})
	for range 100 {
		b.Release(b.ask(Request{Tokens: 10}), Outcome{Completed: true}, b.now)
	}
	for range 4 {
		b.ask(Request{Tokens: 200})
	}
	g.Expect(b.Load()).To(And(HaveField("InUse", 3), HaveField("Queued", 1)))
	b.ask(Request{Class: core.ClassBatch})
	g.Expect(b.Load()).To(And(HaveField("InUse", 3), HaveField("BatchQueued", 1)))
	b.ask(Request{Tokens: 10})
	g.Expect(b.Load()).To(And(HaveField("InUse", 4), HaveField("Queued", 1)))
}

// Guards against a queue in which requests wait past their deadlines instead
// of being refused at once, and against one organisation that fills it.
func TestEarlyRefusalAndFullQueue(t *testing.T) {
	g := NewWithT(t)
	b := newBench(Limits{Slots: 1, QueueLimit: 8})
	b.warm()
	b.ask(Request{Org: "flood"})
	deadline := b.now.Add(4 * time.Second)
	for range 20 {
		b.ask(Request{Org: "flood", Deadline: deadline})
	}
	// With 1 s each and the margin, the fourth would start 5 s from now.
	g.Expect(b.Load().Queued).To(Equal(3))
	for range 20 {
		b.ask(Request{Org: "flood"})
	}
	g.Expect(b.Load().Queued).To(Equal(8))
	decision, events := b.Reserve(Request{ID: "other", Holder: "b", Org: "other"}, b.now)
	g.Expect(decision.Verdict).To(Equal(VerdictQueued))
	g.Expect(events).To(HaveExactElements(HaveField("Kind", EventEvicted)))
}

// Guards against slots given to work that can no longer end in time: under
// overload such work fills the slots and nothing ends in time. With 1 s of
// service and the margin, a wait must leave 1.2 s.
func TestWaitLeavesTimeToFinish(t *testing.T) {
	g := NewWithT(t)
	b := newBench(Limits{Slots: 1, QueueLimit: 8})
	b.warm()
	held := b.ask(Request{})
	late := b.ask(Request{Finish: b.now.Add(2500 * time.Millisecond)})
	b.now = b.now.Add(1250 * time.Millisecond)
	g.Expect(b.finish(held)).To(Equal(late), "1.25 s are left")
	next := b.ask(Request{Finish: b.now.Add(2500 * time.Millisecond)})
	b.now = b.now.Add(1350 * time.Millisecond)
	g.Expect(b.finish(late)).To(BeEmpty(), "1.15 s are left")
	g.Expect(b.ask(Request{Finish: b.now.Add(time.Millisecond)})).NotTo(Equal(next))
	g.Expect(b.Load().InUse).To(Equal(1), "a free slot is given in any case")
}

// Guards against batch work out of the order of due times.
func TestBatchByDueTime(t *testing.T) {
	g := NewWithT(t)
	b := newBench(Limits{Slots: 1, QueueLimit: 10})
	held := b.ask(Request{Class: core.ClassBatch})
	late := b.ask(Request{Class: core.ClassBatch, Due: b.now.Add(2 * time.Hour)})
	soon := b.ask(Request{Class: core.ClassBatch, Due: b.now.Add(time.Hour)})
	g.Expect(b.finish(held)).To(Equal(soon))
	g.Expect(b.finish(soon)).To(Equal(late))
}

// Guards against a new owner that grants slots before their holders register
// them, or that counts them for ever.
func TestAssumedReservations(t *testing.T) {
	g := NewWithT(t)
	b := newBench(Limits{Slots: 2, QueueLimit: 10})
	b.Assume(2, 0, b.now)
	b.ask(Request{})
	g.Expect(b.Load().InUse).To(BeZero())
	b.Register(Request{ID: "old", Holder: "b"}, b.now, b.now)
	g.Expect(b.Load()).To(And(HaveField("InUse", 1), HaveField("Queued", 1)))
	b.now = b.now.Add(assumedTime)
	b.Tick(b.now)
	g.Expect(b.Load()).To(And(HaveField("InUse", 2), HaveField("Queued", 0)))
}

// Guards against test requests of all nodes to one slow replica.
func TestProbesOfAllNodes(t *testing.T) {
	g := NewWithT(t)
	b := newBench(Limits{Slots: 4, ProbeInterval: 10 * time.Second})
	granted := func(id core.ReservationID) bool {
		d, _ := b.Reserve(Request{ID: id, Holder: "a", NoWait: true, Probe: true}, b.now)
		return d.Verdict == VerdictGranted
	}
	g.Expect(granted("1")).To(BeTrue())
	g.Expect(granted("2")).To(BeFalse(), "one at a time")
	b.Release("1", Outcome{Completed: true}, b.now)
	b.now = b.now.Add(9 * time.Second)
	g.Expect(granted("3")).To(BeFalse(), "too early after a bad one")
	b.now = b.now.Add(time.Second)
	g.Expect(granted("4")).To(BeTrue())
	b.Release("4", Outcome{Completed: true, ProbeGood: true}, b.now)
	g.Expect(granted("5")).To(BeTrue(), "at once after a good one")
	b.now = b.now.Add(probeTimeout)
	g.Expect(granted("6")).To(BeTrue(), "the end of the last one was not reported")
}

// Guards against a median that single long requests move, or that does not
// follow a replica that has become slow.
func TestSpeedIsAMedian(t *testing.T) {
	g := NewWithT(t)
	b := newBench(Limits{Slots: 1})
	for i := range 9 {
		b.Observe(Speed{FirstToken: time.Second * time.Duration(1+19*(i%5/4))})
	}
	b.Observe(Speed{Waited: time.Millisecond})
	g.Expect(b.Load().FirstToken).To(Equal(time.Second))
	for range 5 {
		b.Observe(Speed{FirstToken: 5 * time.Second})
	}
	g.Expect(b.Load().FirstToken).To(Equal(5 * time.Second))
}
