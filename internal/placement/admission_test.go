package placement

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
)

// streamDuration is how long a stream occupies its slot.
const streamDuration = 800 * time.Millisecond

// overload is a load on a scheduler in simulated time, in steps of one millisecond.
type overload struct {
	s        *scheduler
	now      time.Time
	next     uint64
	deadline map[uint64]time.Time // of the requests that wait
	ends     map[time.Time][]*assignment
	granted  int
	onTime   int
	rejected []rejection
	held     int // neither granted nor rejected until their callers gave up
}

func newOverload(replicas int) *overload {
	return &overload{s: newTestScheduler(replicas, 8), now: time.Now(), deadline: make(map[uint64]time.Time), ends: make(map[time.Time][]*assignment)}
}

func (o *overload) grant(assigned ...*assignment) {
	for _, a := range assigned {
		o.granted++
		if !a.late(o.now) {
			o.onTime++
		}
		delete(o.deadline, a.id)
		end := o.now.Add(streamDuration)
		o.ends[end] = append(o.ends[end], a)
	}
}

// arrive lets a request arrive.
func (o *overload) arrive() {
	o.next++
	req := testRequest(o.next)
	answer, assigned := o.s.place("a", req, o.now)
	switch answer.Outcome {
	case outcomeGranted:
		o.grant(assigned)
	case outcomeRejected:
		o.rejected = append(o.rejected, rejection{id: o.next, wait: answer.ExpectedWait})
	default:
		o.deadline[o.next] = o.now.Add(req.MaxWait)
	}
}

// run lets requests arrive at a rate a second for a time.
func (o *overload) run(perSecond float64, d time.Duration) {
	due := 0.0
	for end := o.now.Add(d); o.now.Before(end); o.now = o.now.Add(time.Millisecond) {
		for _, a := range o.ends[o.now] {
			o.s.removeGrant(a.grantID, a.node)
		}
		delete(o.ends, o.now)
		for due += perSecond / 1000; due >= 1; due-- {
			o.arrive()
		}
		o.grant(o.s.dispatch(o.now)...)
		if o.now.UnixMilli()%tickInterval.Milliseconds() == 0 {
			o.s.expire(o.now)
			for _, r := range o.s.rejectHopeless(o.now) {
				o.rejected = append(o.rejected, r)
				delete(o.deadline, r.id)
			}
		}
		for id, at := range o.deadline {
			if o.now.After(at) {
				o.held++
				delete(o.deadline, id)
			}
		}
	}
}

// Guards against requests that are held until their callers give up while others pass
// them, in loads of one to four times what the replicas take, and against a refusal of
// what could be served: the replicas stay in use, for requests that are on time.
func TestSustainedOverloadIsRejected(t *testing.T) {
	const replicas, length = 12, 20
	capacity := replicas * 8 / streamDuration.Seconds()
	for _, times := range []float64{1, 1.5, 2, 4} {
		g := gomega.NewWithT(t)
		o := newOverload(replicas)
		o.run(times*capacity, length*time.Second)
		t.Logf("%v times the capacity of %.0f a second: granted %d, on time %d, rejected %d, held %d", times, capacity, o.granted, o.onTime, len(o.rejected), o.held)
		g.Expect(o.held).To(gomega.Equal(0))
		g.Expect(float64(o.granted)).To(gomega.BeNumerically(">=", 0.95*capacity*length))
		g.Expect(float64(o.onTime)).To(gomega.BeNumerically(">=", 0.95*capacity*length*0.95))
		if times == 1 {
			g.Expect(o.rejected).To(gomega.BeEmpty())
		}
	}
}

// Guards against callers who are told to come back much later than the queue takes, or
// all at once because nothing is known.
func TestRejectedCallersAreToldWhenToReturn(t *testing.T) {
	g := gomega.NewWithT(t)
	o := newOverload(12)
	o.run(480, 10*time.Second) // four times the capacity
	for _, r := range o.rejected {
		g.Expect(r.wait).To(gomega.BeNumerically(">", 0))
		g.Expect(r.wait).To(gomega.BeNumerically("<=", 2*time.Second), "the time that callers wait")
	}
}

// Guards against callers who are rejected again when they return as they were told:
// they go before fresh requests, once.
func TestReturningRequestsGoFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(1, 1)
	s.serviceTime.adopt(streamDuration)
	now := time.Now()
	place := func(id, identity uint64) outcome {
		req := testRequest(id)
		req.Identity, req.MaxWait = identity, 4*time.Second
		answer, _ := s.place("a", req, now)
		return answer.Outcome
	}
	g.Expect(place(1, 1)).To(gomega.Equal(outcomeGranted))
	for id := uint64(2); id <= 6; id++ { // a slot of 0.8 s
		g.Expect(place(id, id)).To(gomega.Equal(outcomeQueued))
	}
	g.Expect(place(7, 7)).To(gomega.Equal(outcomeRejected))
	now = now.Add(time.Second)
	g.Expect(place(8, 7)).To(gomega.Equal(outcomeQueued), "the caller of 7 returns")
	s.removeGrant(1, "a")
	assigned := s.dispatch(now)
	g.Expect(assigned).To(gomega.HaveLen(1))
	g.Expect(assigned[0].id).To(gomega.Equal(uint64(8)))
	g.Expect(s.rejected.take(7, now)).To(gomega.BeFalse(), "only once")
}

// Guards against a memory of rejected requests that grows with the overload.
func TestRejectedRequestsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	rejected, now := make(rejectedRequests), time.Now()
	for identity := range uint64(2 * maxRejected) {
		rejected.add(identity+1, now)
	}
	g.Expect(rejected).To(gomega.HaveLen(maxRejected))
	g.Expect(rejected.take(1, now.Add(2*rejectedRetention))).To(gomega.BeFalse())
	rejected.expire(now.Add(2 * rejectedRetention))
	g.Expect(rejected).To(gomega.BeEmpty())
}

// Guards against requests of which the node is not told that they are rejected after
// they were queued: they would wait on until their callers give up.
func TestQueuedRequestLearnsThatItIsRejected(t *testing.T) {
	f := newFleet(t, oneReplica(1), "a", "b")
	f.Expect(<-f.place(t.Context(), "a")).NotTo(gomega.BeNil()) // never ends
	var last core.NodeID
	for id := range f.nodes {
		if id != f.hub() {
			last = id
		}
	}
	began := time.Now()
	r, wait := f.nodes[last].Place(t.Context(), &Query{Service: "m", Arrived: began, Objective: testObjective, MaxWait: 2 * time.Second})
	f.Expect(r).To(gomega.BeNil())
	f.Expect(wait).To(gomega.BeNumerically(">", 0))
	f.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second+hubCallTimeout))
}

// Guards against a hub that has just started and rejects short requests, of which it takes
// each for a stream. The load: a burst of 40 at one server of one slot.
func TestNothingIsRejectedBeforeServiceTimeIsKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	s := newTestScheduler(1, 1)
	now := time.Now()
	for id := range uint64(40) {
		answer, _ := s.place("a", testRequest(id), now)
		g.Expect(answer.Outcome).NotTo(gomega.Equal(outcomeRejected))
	}
	s.expire(now)
	g.Expect(s.rejectHopeless(now)).To(gomega.BeEmpty())
	s.serviceTime.adopt(streamDuration)
	g.Expect(s.rejectHopeless(now)).NotTo(gomega.BeEmpty(), "once it is known, most are hopeless")
}
