package quarantine

import (
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

// Guards against nodes that do not act on what others have seen: the crashes are
// spread over the nodes, and no node sees two.
func TestAllNodesActOnCrashesOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 5)
		for i := range 3 {
			f.crash(core.NodeID(fmt.Sprintf("n%d", i+1)), "f", "bad", own(i))
		}
		f.harmless("n4", "f", "fine")
		time.Sleep(decisionTime)
		for id := range f.services {
			f.Expect(f.blocked(id, "bad")).To(gomega.BeTrue())
			f.Expect(f.blocked(id, "fine")).To(gomega.BeFalse())
			f.Expect(f.services[id].Entries()).To(gomega.HaveLen(1))
		}
	})
}

// Guards against a decision that waits for its time while one replica after the other
// crashes.
func TestManyCrashesAreDecidedOnSooner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2)
		for i := range manyCrashes {
			f.crashes++
			f.services["n1"].sendReport(&report{Service: "m", Replica: core.ReplicaID(fmt.Sprintf("i-%d", f.crashes)), Parts: []Part{"f", "bad", own(i)}})
			time.Sleep(momentLength)
			f.harmless("n0", "f", "fine")
		}
		time.Sleep(2 * evaluationInterval)
		f.Expect(f.blocked("n1", "bad")).To(gomega.BeTrue())
		f.Expect(f.blocked("n1", "fine")).To(gomega.BeFalse())
	})
}

// Guards against the quarantine of a part that some node has just seen proved
// harmless, and of any part in an outage of all replicas, in which nothing is.
func TestNothingSoundIsQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		for i := range 3 {
			f.crash("n1", "popular", own(i))
		}
		f.harmless("n2", "popular")
		time.Sleep(decisionTime)
		f.Expect(f.blocked("n0", "popular")).To(gomega.BeFalse())
		for i := range certainCrashes - 1 {
			f.crash("n1", "other", own(10+i))
		}
		time.Sleep(decisionTime)
		f.Expect(f.blocked("n0", "other")).To(gomega.BeFalse())
		f.crash("n1", "other", own(20)) // without any harmless run the part is found later
		time.Sleep(decisionTime)
		f.Expect(f.blocked("n0", "other")).To(gomega.BeTrue())
	})
}

// Guards against crashes that go on because the hub that had counted them is gone, or
// because a node reaches no hub.
func TestCrashesAreCountedWhenHubsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		f.harmless("n3", "f")
		f.crash("n2", "f", "bad", own(0))
		f.crash("n2", "f", "bad", own(1))
		f.mu.Lock()
		f.down["n0"], f.down["n3"] = true, true
		f.mu.Unlock()
		for i := range 3 {
			f.crash("n2", "f", "bad", own(2+i))
			f.crash("n3", "f", "worse", own(2+i))
			f.harmless("n1", "f")
			f.harmless("n3", "f")
		}
		time.Sleep(decisionTime)
		f.Expect(f.blocked("n2", "bad")).To(gomega.BeTrue())
		f.Expect(f.blocked("n3", "worse")).To(gomega.BeTrue())
	})
}

// Guards against a quarantine that does not end when the crashes have ended, that is
// not renewed when they go on, and against more than one trial.
func TestQuarantineEndsWithTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		target := crashedReplica()
		f.harmless("n2", "f")
		for i := range 3 {
			f.crash("n1", "f", "bad", own(i))
			f.harmless("n2", "f")
		}
		time.Sleep(decisionTime)
		f.Expect(f.blocked("n1", "bad")).To(gomega.BeTrue())

		time.Sleep(baseDuration + trialSpread)
		run, ok := f.services["n1"].Begin([]Part{"f", "bad"}, target)
		f.Expect(ok).To(gomega.BeTrue())
		f.Expect(f.blocked("n1", "bad")).To(gomega.BeTrue(), "one trial at a time")
		run.RecordEnd(syscall.ECONNRESET, true)
		run.End()
		time.Sleep(decisionTime)
		for id := range f.services {
			f.Expect(f.blocked(id, "bad")).To(gomega.BeTrue())
			f.Expect(f.services[id].Entries()[0].Round).To(gomega.Equal(2))
		}
		time.Sleep(baseDuration + trialSpread)
		f.Expect(f.blocked("n1", "bad")).To(gomega.BeTrue(), "the second quarantine is longer")

		time.Sleep(baseDuration)
		run, ok = f.services["n2"].Begin([]Part{"f", "bad"}, target)
		f.Expect(ok).To(gomega.BeTrue())
		run.RecordEvent(time.Now())
		time.Sleep(proofDelay)
		run.RecordEvent(time.Now())
		run.End()
		time.Sleep(decisionTime)
		for id := range f.services {
			f.Expect(f.services[id].Entries()[0].Lifted).To(gomega.BeTrue())
			f.Expect(f.blocked(id, "bad")).To(gomega.BeFalse())
		}
	})
}

// crashedReplica returns a replica whose address refuses connections.
func crashedReplica() *replica.Replica {
	registry := replica.NewRegistry()
	registry.Put(replica.Info{ID: "i-target", Service: "m", Address: "127.0.0.1:1", Slots: 8})
	return registry.Get("i-target")
}

// Guards against trials that never end: one whose request is refused or whose caller
// leaves must make room for the next.
func TestTrialWithoutResultMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		s := f.services["n0"]
		s.Adopt([]Notice{{Part: "bad", Round: 1, Remaining: 0}}, "test")
		time.Sleep(trialSpread)
		for range 3 {
			run, ok := s.Begin([]Part{"bad"}, crashedReplica())
			f.Expect(ok).To(gomega.BeTrue())
			run.End()
		}
		time.Sleep(forgetAfter)
		f.Expect(s.Entries()).To(gomega.BeEmpty())
		f.Expect(f.blocked("n0", "bad")).To(gomega.BeFalse())
	})
}

// Guards against a quarantine that restarts undo, that a stale copy revives after it
// was lifted, or that stays in the store for ever.
func TestReconcileWithStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		first, second, third := f.services["n0"], f.services["n1"], f.services["n2"]
		update, changed := first.Reconcile(nil, 0)
		f.Expect(changed).To(gomega.BeFalse())
		f.Expect(update).To(gomega.BeNil())

		first.Adopt([]Notice{{Part: "bad", Round: 1, Remaining: baseDuration}}, "test")
		stored, changed := first.Reconcile(nil, 100*time.Second)
		f.Expect(changed).To(gomega.BeTrue())
		_, changed = first.Reconcile(stored, 101*time.Second)
		f.Expect(changed).To(gomega.BeFalse())

		time.Sleep(10 * time.Second)
		_, changed = second.Reconcile(stored, 110*time.Second)
		f.Expect(changed).To(gomega.BeFalse())
		f.Expect(time.Until(second.Entries()[0].Until)).To(gomega.Equal(baseDuration - 10*time.Second))

		third.Adopt([]Notice{{Part: "bad", Round: 1, Remaining: baseDuration, Lifted: true}}, "test")
		lifted, changed := third.Reconcile(stored, 110*time.Second)
		f.Expect(changed).To(gomega.BeTrue())
		_, changed = first.Reconcile(lifted, 111*time.Second)
		f.Expect(changed).To(gomega.BeFalse())
		f.Expect(f.blocked("n0", "bad")).To(gomega.BeFalse())
		_, _ = third.Reconcile(stored, 112*time.Second) // a stale read
		f.Expect(f.blocked("n2", "bad")).To(gomega.BeFalse())

		time.Sleep(baseDuration + forgetAfter)
		update, changed = first.Reconcile(lifted, 900*time.Second)
		f.Expect(changed).To(gomega.BeTrue())
		f.Expect(update).To(gomega.BeNil())
	})
}

// quarantinedRequests returns how many of the requests are quarantined at all nodes.
func (f *testFleet) quarantinedRequests(requests []Part) int {
	n := 0
	for _, request := range requests {
		everywhere := true
		for _, s := range f.services {
			_, blocked := s.Blocked([]Part{request})
			everywhere = everywhere && blocked
		}
		if everywhere {
			n++
		}
	}
	return n
}

// Guards against one request that crashes server after server: it comes again at many
// nodes in the same moment, so that its crashes are no series, and it is one of many
// such requests, so that it is in a small part of the crashes. Sound requests share its
// prompt.
func TestRequestsThatComeAgainAtOnceAreQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		var requests []Part
		for i := range 8 {
			requests = append(requests, RequestPart("h", "POST", fmt.Sprintf("/%d", i), nil))
		}
		for range minCrashes {
			for i, request := range requests {
				f.crashes++
				f.services[core.NodeID(fmt.Sprintf("n%d", i%4))].sendReport(&report{
					Service: "m", Replica: core.ReplicaID(fmt.Sprintf("i-%d", f.crashes)), Parts: []Part{"f", "shared", request},
				})
			}
		}
		time.Sleep(50 * time.Millisecond)
		f.harmless("n3", "f", "shared", RequestPart("h", "POST", "/sound", nil))
		time.Sleep(decisionTime)
		f.Expect(f.quarantinedRequests(requests)).To(gomega.Equal(len(requests)))
		f.Expect(f.blocked("n0", "shared")).To(gomega.BeFalse())
	})
}

// Guards against refusing a sound request that many callers send, because replicas that
// run it fail with their rack.
func TestPopularRequestIsNotQuarantinedWithARack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		popular := RequestPart("h", "GET", "/front-page", nil)
		for i := range 5 {
			f.services["n1"].sendReport(&report{Service: "m", Replica: core.ReplicaID(fmt.Sprintf("i-%d", i)), Parts: []Part{popular}})
		}
		time.Sleep(50 * time.Millisecond)
		f.harmless("n2", popular)
		time.Sleep(decisionTime)
		f.Expect(f.quarantinedRequests([]Part{popular})).To(gomega.Equal(0))
	})
}

// Guards against a sound part that is quarantined because crashes that were reported
// while the nodes were asked made a suspect of it: nobody was asked about it.
func TestOnlyPartsThatWereAskedAboutAreQuarantined(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newTestFleet(t, 1)
	s := f.services["n0"]
	s.mu.Lock()
	now := crashSeries(&s.tallyOf("m").crashTally, time.Now().Add(-2*observationTime), 5, 100*time.Millisecond, func(i int) []Part { return []Part{"bad", own(i)} })
	s.mu.Unlock()
	now = now.Add(observationTime)
	chosen, again := s.chooseSuspect("m", []Part{"other"}, now, now)
	g.Expect(chosen).To(gomega.BeNil())
	g.Expect(again).To(gomega.BeTrue())
	chosen, _ = s.chooseSuspect("m", []Part{"bad"}, now, now)
	g.Expect(chosen.part).To(gomega.Equal(Part("bad")))
}

// Guards against a suspect that is left out of the question to the nodes, and against
// one that is named twice in place of another candidate.
func TestQuestionNamesEachSuspectOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	candidates := make([]*candidate, 2*maxWitnessParts)
	for i := range candidates {
		candidates[i] = &candidate{part: own(i)}
	}
	few := questionParts(candidates[:2], candidates)
	g.Expect(few).To(gomega.HaveLen(maxWitnessParts))
	g.Expect(few[:3]).To(gomega.Equal([]Part{own(0), own(1), own(2)}))
	many := questionParts(candidates[:maxWitnessParts+3], candidates)
	g.Expect(many).To(gomega.HaveLen(maxWitnessParts + 3))
}
