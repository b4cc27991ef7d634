package owner

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
)

// ledgerFixture is a ledger with a clock and a source of reservation IDs.
type ledgerFixture struct {
	*Ledger
	now  time.Time
	next int
}

func newLedgerFixture(limits Limits) *ledgerFixture {
	return &ledgerFixture{Ledger: NewLedger("r", limits), now: time.Unix(1_000_000, 0)}
}

// learnServiceTime completes enough requests for an average service time of one
// second to take effect.
func (f *ledgerFixture) learnServiceTime() {
	for range 20 {
		id := f.request(Request{Org: "warm"})
		f.now = f.now.Add(time.Second)
		f.Release(id, Outcome{Completed: true}, f.now)
	}
}

func (f *ledgerFixture) request(r Request) core.ReservationID {
	f.next++
	r.ID = core.ReservationID(fmt.Sprint(f.next))
	r.Holder = "a"
	f.Reserve(r, f.now)
	return r.ID
}

// complete releases a held reservation and returns the waiter that was granted
// the slot, or "".
func (f *ledgerFixture) complete(id core.ReservationID) core.ReservationID {
	for _, e := range f.Release(id, Outcome{Completed: true}, f.now) {
		if e.Kind == EventGranted {
			return e.ID
		}
	}
	return ""
}

// Guards against an organisation that exceeds its weighted share by sending more
// requests than another. Only a constant difference is allowed.
func TestFairSharesFollowWeights(t *testing.T) {
	g := NewWithT(t)
	f := newLedgerFixture(Limits{Slots: 1, QueueLimit: 1000})
	f.learnServiceTime()
	held := f.request(Request{Org: "light", Weight: 1})
	orgs := map[core.ReservationID]core.Org{}
	for range 300 {
		orgs[f.request(Request{Org: "light", Weight: 1})] = "light"
	}
	for range 100 {
		orgs[f.request(Request{Org: "heavy", Weight: 3})] = "heavy"
	}
	got := map[core.Org]int{}
	for i := 1; i <= 100; i++ {
		f.now = f.now.Add(time.Second)
		held = f.complete(held)
		got[orgs[held]]++
		g.Expect(float64(got["heavy"])).To(BeNumerically("~", 0.75*float64(i), 3*fairnessQuantum))
	}
}

// Guards against short requests that wait behind long ones, and against long
// requests that starve while short ones keep arriving.
func TestShortestFirstWithAgeing(t *testing.T) {
	g := NewWithT(t)
	f := newLedgerFixture(Limits{Slots: 1, QueueLimit: 1000})
	f.learnServiceTime()
	held := f.request(Request{Tokens: 10})
	for range 200 {
		f.request(Request{Tokens: 10, NoWait: true}) // the average length is 10
	}
	long := f.request(Request{Tokens: 100})
	short := f.request(Request{Tokens: 10})
	held = f.complete(held)
	g.Expect(held).To(Equal(short))
	served := 0
	for held != long {
		f.request(Request{Tokens: 10})
		f.now = f.now.Add(time.Second)
		held = f.complete(held)
		served++
		g.Expect(served).To(BeNumerically("<", 30), "the long request starves")
	}
	g.Expect(served).To(BeNumerically(">", 3))
}

// Guards against long requests that take all slots of a replica, and against
// batch work in the slot that is reserved for short requests.
func TestLongRequestsLeaveSlotsForShortOnes(t *testing.T) {
	g := NewWithT(t)
	f := newLedgerFixture(Limits{Slots: 4, QueueLimit: 10})
	for range 100 {
		f.Release(f.request(Request{Tokens: 10}), Outcome{Completed: true}, f.now)
	}
	for range 4 {
		f.request(Request{Tokens: 200})
	}
	g.Expect(f.Load()).To(And(HaveField("InUse", 3), HaveField("Queued", 1)))
	f.request(Request{Class: core.ClassBatch})
	g.Expect(f.Load()).To(And(HaveField("InUse", 3), HaveField("BatchQueued", 1)))
	f.request(Request{Tokens: 10})
	g.Expect(f.Load()).To(And(HaveField("InUse", 4), HaveField("Queued", 1)))
}

// Guards against requests that wait past their deadlines instead of being
// refused at once, and against one organisation that fills the queue.
func TestEarlyRefusalAndFullQueue(t *testing.T) {
	g := NewWithT(t)
	f := newLedgerFixture(Limits{Slots: 1, QueueLimit: 8})
	f.learnServiceTime()
	f.request(Request{Org: "flood"})
	deadline := f.now.Add(4 * time.Second)
	for range 20 {
		f.request(Request{Org: "flood", Deadline: deadline})
	}
	// At 1 s of service each and with waitMargin, the fourth would start in 5 s.
	g.Expect(f.Load().Queued).To(Equal(3))
	for range 20 {
		f.request(Request{Org: "flood"})
	}
	g.Expect(f.Load().Queued).To(Equal(8))
	decision, events := f.Reserve(Request{ID: "other", Holder: "b", Org: "other"}, f.now)
	g.Expect(decision.Verdict).To(Equal(VerdictQueued))
	g.Expect(events).To(HaveExactElements(HaveField("Kind", EventEvicted)))
}

// Guards against slots granted to work that can no longer end in time: under
// overload such work fills the slots and nothing ends in time. With 1 s of
// service time and serviceTimeMargin, 1.2 s must remain after the wait.
func TestWaitLeavesTimeToFinish(t *testing.T) {
	g := NewWithT(t)
	f := newLedgerFixture(Limits{Slots: 1, QueueLimit: 8})
	f.learnServiceTime()
	held := f.request(Request{})
	late := f.request(Request{Finish: f.now.Add(2500 * time.Millisecond)})
	f.now = f.now.Add(1250 * time.Millisecond)
	g.Expect(f.complete(held)).To(Equal(late), "1.25 s remain, which is enough")
	next := f.request(Request{Finish: f.now.Add(2500 * time.Millisecond)})
	f.now = f.now.Add(1350 * time.Millisecond)
	g.Expect(f.complete(late)).To(BeEmpty(), "1.15 s remain, which is too little")
	g.Expect(f.request(Request{Finish: f.now.Add(time.Millisecond)})).NotTo(Equal(next))
	g.Expect(f.Load().InUse).To(Equal(1), "a free slot is granted regardless of the time that remains")
}

// Guards against batch work that is not served in the order of due times.
func TestBatchOrderedByDueTime(t *testing.T) {
	g := NewWithT(t)
	f := newLedgerFixture(Limits{Slots: 1, QueueLimit: 10})
	held := f.request(Request{Class: core.ClassBatch})
	late := f.request(Request{Class: core.ClassBatch, Due: f.now.Add(2 * time.Hour)})
	soon := f.request(Request{Class: core.ClassBatch, Due: f.now.Add(time.Hour)})
	g.Expect(f.complete(held)).To(Equal(soon))
	g.Expect(f.complete(soon)).To(Equal(late))
}

// Guards against a new owner that grants slots in use before their holders
// register them, and against one that counts unregistered slots for ever.
func TestAssumedLoadOfNewOwner(t *testing.T) {
	g := NewWithT(t)
	f := newLedgerFixture(Limits{Slots: 2, QueueLimit: 10})
	f.AssumeInUse(2, 0, f.now)
	f.request(Request{})
	g.Expect(f.Load().InUse).To(BeZero())
	f.Register(Request{ID: "old", Holder: "b"}, f.now, f.now)
	g.Expect(f.Load()).To(And(HaveField("InUse", 1), HaveField("Queued", 1)))
	f.now = f.now.Add(assumedLoadTimeout)
	f.Tick(f.now)
	g.Expect(f.Load()).To(And(HaveField("InUse", 2), HaveField("Queued", 0)))
}

// Guards against simultaneous probes of several nodes to one slow replica, and
// against a failed probe that is repeated too early.
func TestOneProbeAtATime(t *testing.T) {
	g := NewWithT(t)
	f := newLedgerFixture(Limits{Slots: 4, ProbeInterval: 10 * time.Second})
	granted := func(id core.ReservationID) bool {
		d, _ := f.Reserve(Request{ID: id, Holder: "a", NoWait: true, Probe: true}, f.now)
		return d.Verdict == VerdictGranted
	}
	g.Expect(granted("1")).To(BeTrue())
	g.Expect(granted("2")).To(BeFalse(), "one probe at a time")
	f.Release("1", Outcome{Completed: true}, f.now)
	f.now = f.now.Add(9 * time.Second)
	g.Expect(granted("3")).To(BeFalse(), "too early after a failed probe")
	f.now = f.now.Add(time.Second)
	g.Expect(granted("4")).To(BeTrue())
	f.Release("4", Outcome{Completed: true, ProbePassed: true}, f.now)
	g.Expect(granted("5")).To(BeTrue(), "at once after a passed probe")
	f.now = f.now.Add(probeTimeout)
	g.Expect(granted("6")).To(BeTrue(), "the end of the previous probe was not reported")
}

// Guards against a latency that single long requests change, or that does not
// follow a replica that has become slow.
func TestFirstTokenIsMedian(t *testing.T) {
	g := NewWithT(t)
	f := newLedgerFixture(Limits{Slots: 1})
	for i := range 9 {
		f.Observe(LatencySample{FirstToken: time.Second * time.Duration(1+19*(i%5/4))})
	}
	f.Observe(LatencySample{Waited: time.Millisecond})
	g.Expect(f.Load().FirstToken).To(Equal(time.Second))
	for range 5 {
		f.Observe(LatencySample{FirstToken: 5 * time.Second})
	}
	g.Expect(f.Load().FirstToken).To(Equal(5 * time.Second))
}
