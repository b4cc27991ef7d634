package placement

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

// Guards against a new hub that begins from nothing. The former one knew of 60 full
// replicas, five of which fail, one for the fourth time: the new one must know both by its
// own last totals, or by those that a node passes on, and a hub that knows better keeps
// what it knows.
func TestNewHubBeginsWithTheLastTotals(t *testing.T) {
	g, now := gomega.NewWithT(t), time.Now()
	former := newFailingScheduler()
	for i, id := range []core.ReplicaID{"r0", "r1", "r2", "r3", "r4"} {
		for failures := range 1 + 3*(i/4) {
			at := now.Add(time.Duration(failures-4) * 2 * sameFailure)
			former.outcomes.receive(nodeName(i), []replicaOutcomes{{ID: id, Failed: 1}}, at)
		}
	}
	totals := &formerTotals{at: now, standings: former.outcomes.standings(now)}
	for _, r := range former.replicas {
		totals.replicas = append(totals.replicas, replicaCounts{ID: r.id, Online: loadSlots})
	}
	g.Expect(totals.standings).To(gomega.HaveLen(5))

	byItself, byNode := newFailingScheduler(), newFailingScheduler()
	byItself.takeOver(totals, now)
	byNode.receiveCounts("b", &nodeCounts{RunID: 1, Sequence: 1, Standings: totals.standingsAt(now)}, now)
	for name, s := range map[string]*scheduler{"by itself": byItself, "by a node": byNode} {
		g.Expect(s.outcomes.numTroubled).To(gomega.Equal(5), name)
		for _, id := range []core.ReplicaID{"r0", "r4"} {
			g.Expect(s.outcomes.standing(id, now).probeAt).To(gomega.BeTemporally("~", former.outcomes.standing(id, now).probeAt, time.Millisecond), name)
		}
	}
	g.Expect(byItself.openings(now).list).To(gomega.BeEmpty(), "all slots are taken by the last totals")
	g.Expect(byItself.openings(now.Add(inheritedLoadTTL/2)).list).NotTo(gomega.BeEmpty(), "some work has ended since")
	g.Expect(byNode.openings(now).list).NotTo(gomega.BeEmpty())

	byItself.outcomes.receive("c", []replicaOutcomes{{ID: "r0", Succeeded: 1}}, now.Add(time.Second))
	byItself.outcomes.adopt(totals.standingsAt(now.Add(time.Second)), now.Add(time.Second))
	g.Expect(byItself.outcomes.standing("r0", now.Add(time.Second)).onProbation).To(gomega.BeFalse(), "it has succeeded since")

	restarted := newFailingScheduler()
	restarted.replicas[0].started = 7
	restarted.setReplicas(restarted.replicas, now)
	restarted.takeOver(totals, now)
	g.Expect(restarted.outcomes.standing("r0", now).onProbation).To(gomega.BeFalse(), "it is another process")
	g.Expect(restarted.outcomes.numTroubled).To(gomega.Equal(4))
}

// Guards against requests that may run once at a replica on probation, and against more
// than one request there at a time. Two replicas have free slots; one has just failed.
func TestProbationIsOneRepeatableRequestAtATime(t *testing.T) {
	g, now := gomega.NewWithT(t), time.Now()
	s := newTestScheduler(2, 20)
	s.setReplicas(s.replicas, now)
	s.outcomes.receive("a", []replicaOutcomes{{ID: "r0", Failed: 1}}, now)
	place := func(id uint64, repeatable bool) core.ReplicaID {
		req := testRequest(id)
		req.Repeatable = repeatable
		answer, _ := s.place("a", req, now)
		return answer.Replica
	}
	now = now.Add(repeatableProbeGrace)
	g.Expect(place(1, false)).To(gomega.Equal(core.ReplicaID("r1")))
	g.Expect(place(2, true)).To(gomega.Equal(core.ReplicaID("r0")))
	g.Expect(place(3, true)).To(gomega.Equal(core.ReplicaID("r1")))
	s.outcomes.receive("a", []replicaOutcomes{{ID: "r0", Failed: 1}}, now.Add(2*sameFailure))
	now = now.Add(2*sameFailure + minProbationPause)
	g.Expect(place(4, true)).To(gomega.Equal(core.ReplicaID("r1")), "the pause is not over")
	now = now.Add(repeatableProbeGrace)
	g.Expect(place(5, true)).To(gomega.Equal(core.ReplicaID("r0")))
	s.outcomes.receive("a", []replicaOutcomes{{ID: "r0", Succeeded: 1, SuccessAge: time.Second}}, now)
	g.Expect(s.outcomes.onProbation("r0")).To(gomega.BeTrue(), "a run that began before the failure shows nothing")
	s.outcomes.receive("a", []replicaOutcomes{{ID: "r0", Succeeded: 1}}, now)
	g.Expect(s.outcomes.onProbation("r0")).To(gomega.BeFalse())
}

// Guards against a node without a hub that sends requests to a replica of which the last
// totals said that its runs fail.
func TestNodeWithoutHubKnowsStandings(t *testing.T) {
	g, now := gomega.NewWithT(t), time.Now()
	registry := replica.NewRegistry()
	for _, id := range []core.ReplicaID{"r0", "r1"} {
		registry.Put(replica.Info{ID: id, Service: "m", Address: "127.0.0.1:1", Slots: 8})
	}
	learnStandings(registry, &groupTotals{Replicas: []replicaCounts{{ID: "r0"}, {ID: "r1"}}, Standings: []replicaStanding{{ID: "r0", OnProbation: true, FailedShare: 1}}}, now)
	for range 6 { // more than the failed share alone makes up for
		registry.Get("r1").Begin(core.ClassOnline)
	}
	choose := func(at time.Time) core.ReplicaID {
		return registry.Choose(&replica.Query{Service: "m", Now: at}).Info().ID
	}
	g.Expect(choose(now)).To(gomega.Equal(core.ReplicaID("r1")))
	g.Expect(choose(now.Add(time.Minute))).To(gomega.Equal(core.ReplicaID("r0")), "it is long ago")
	learnStandings(registry, &groupTotals{Replicas: []replicaCounts{{ID: "r0"}, {ID: "r1"}}}, now)
	g.Expect(choose(now)).To(gomega.Equal(core.ReplicaID("r0")))
}

// Guards against sound replicas on probation because of requests that take longer than
// their route allows: one in twenty runs is given up at its deadline. A replica at which
// all are given up is doubtful.
func TestUnclearFailuresBringNoProbation(t *testing.T) {
	g, now := gomega.NewWithT(t), time.Now()
	s := newTestScheduler(3, 20)
	s.setReplicas(s.replicas, now)
	for i := range 100 {
		unclear := 0
		if i%20 == 0 {
			unclear = 1
		}
		s.outcomes.receive("a", []replicaOutcomes{{ID: "r0", Succeeded: 1, Unclear: unclear}, {ID: "r1", Unclear: 1 - min(1, i%20)}}, now)
		now = now.Add(50 * time.Millisecond)
		g.Expect(s.outcomes.standing("r0", now).doubtful).To(gomega.BeFalse())
	}
	g.Expect(s.outcomes.standing("r1", now).doubtful).To(gomega.BeTrue())
	g.Expect(s.outcomes.numTroubled).To(gomega.BeZero())
}

// Guards against a failure that seems new at each new hub: of a replica at which runs were
// only given up at their deadline, nobody knows a failure.
func TestUnclearFailuresAreNotNewAtANewHub(t *testing.T) {
	g, now := gomega.NewWithT(t), time.Now()
	former, next := newTestScheduler(3, 20), newTestScheduler(3, 20)
	former.setReplicas(former.replicas, now)
	next.setReplicas(next.replicas, now)
	former.outcomes.receive("a", []replicaOutcomes{{ID: "r0", Unclear: 8}}, now)
	totals := &formerTotals{at: now, standings: former.outcomes.standings(now)}
	g.Expect(totals.standings).To(gomega.HaveLen(1))
	now = now.Add(inheritedTTL / 2)
	for _, s := range totals.standingsAt(now) {
		g.Expect(s.FailureAge).To(gomega.BeNumerically(">", inheritedTTL))
	}
	next.takeOver(totals, now)
	g.Expect(next.outcomes.standing("r0", now).doubtful).To(gomega.BeFalse())
}

// Guards against a replica on probation for good: it came again under its name after its
// registration had ended, and its runs are reported only when there are more than before.
func TestRunsAreReportedAfterANewRegistration(t *testing.T) {
	g, now := gomega.NewWithT(t), time.Now()
	registry, sent := replica.NewRegistry(), make(reportedOutcomes)
	register := func() *replica.Replica {
		registry.Put(replica.Info{ID: "r0", Service: "m", Address: "127.0.0.1:1", Slots: 8})
		return registry.Get("r0")
	}
	r := register()
	for range 9 {
		r.ObserveSuccess(now)
	}
	r.ObserveFailure()
	own := group{Service: "m", Count: 1}
	g.Expect(sent.due(registry, own, now)).To(gomega.HaveLen(1))
	registry.Remove("r0")
	register().ObserveSuccess(now)
	due := sent.due(registry, own, now)
	g.Expect(due).To(gomega.HaveLen(1))
	g.Expect(due[0].Succeeded).To(gomega.Equal(1))
	g.Expect(due[0].Failed).To(gomega.BeZero())
	g.Expect(sent.due(registry, own, now)).To(gomega.BeEmpty())
}

// Guards against a replica on probation for good, and items that wait with it: two
// replicas of one slot, of which one has failed, and only items wait. The slot of the
// sound one is the headroom.
func TestItemsTryAReplicaOnProbationInTheHeadroom(t *testing.T) {
	g, now := gomega.NewWithT(t), time.Now()
	s := newTestScheduler(2, 1)
	for i := range s.replicas {
		s.replicas[i].usableSince = now.Add(-time.Hour)
	}
	s.setReplicas(s.replicas, now)
	s.outcomes.receive("a", []replicaOutcomes{{ID: "r0", Failed: 1}}, now)
	s.outcomes.receive("a", []replicaOutcomes{{ID: "r0", Failed: 1}}, now.Add(2*sameFailure))
	for id := range uint64(3) {
		s.place("a", &placementRequest{ID: id, DataCentre: "dc-a", Batch: true, DueIn: time.Minute, MaxWait: time.Hour}, now.Add(2*sameFailure))
	}
	g.Expect(s.dispatch(now.Add(2*sameFailure))).To(gomega.BeEmpty(), "the pause is not over")
	assigned := s.dispatch(now.Add(time.Minute))
	g.Expect(assigned).To(gomega.HaveLen(1))
	g.Expect(assigned[0].replica).To(gomega.Equal(core.ReplicaID("r0")))
}

// Guards against a hub that never forgets replicas that crashed and are gone: it tells of
// them in its totals, ten times a second.
func TestReplicasWithoutRunsAreForgotten(t *testing.T) {
	g, now := gomega.NewWithT(t), time.Now()
	s := newTestScheduler(4, 20)
	s.setReplicas(s.replicas, now)
	s.outcomes.receive("a", []replicaOutcomes{{ID: "r0", Failed: 1}, {ID: "r1", Succeeded: 1}}, now)
	s.setReplicas(s.replicas[1:], now)
	for passed := time.Duration(0); passed <= outcomeTTL+time.Second; passed += 100 * time.Millisecond {
		s.outcomes.standings(now.Add(passed))
		s.outcomes.expire(now.Add(passed))
	}
	g.Expect(s.outcomes.records).To(gomega.BeEmpty())
}
