package placement

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
)

// Guards against a hub that takes over in a rush and takes the demand of that for the usual
// one: it begins with the shares of the former hub.
func TestHubBeginsWithTheUsualDemandsOfTheFormerOne(t *testing.T) {
	f := announcedFleet(t, oneReplica(8), "a", "b", "c")
	hub := f.hub()
	for _, id := range f.others(hub) {
		f.Expect(<-f.place(t.Context(), id)).NotTo(gomega.BeNil())
	}
	former := f.nodes[hub].hub
	former.mu.Lock()
	turns := former.groups[testGroup].onlineTurns
	for org, perSecond := range map[core.Org]float64{"large": 30, "small": 10} {
		turns.account(org, 0).demand.perSecond = perSecond
	}
	turns.beganAt = time.Now().Add(-usualWindow)
	turns.updatedAt = time.Now()
	turns.derive(turns.accounts, usualWindow)
	former.groups[testGroup].demandsSentAt = time.Time{}
	former.mu.Unlock()
	next := f.nodes[f.others(hub)[0]].candidates.Load().hubs(testGroup)[1]
	f.Eventually(func() any { return f.nodes[next].formerDemands(testGroup, time.Now()) }, testTimeout, "5ms").ShouldNot(gomega.BeNil())
	f.nodes[hub].Stop(t.Context())
	h := f.nodes[next].hub
	f.Eventually(func() bool { // it may have been the hub for a moment, and look again in 5 ms
		h.mu.Lock()
		defer h.mu.Unlock()
		return h.groups[testGroup] != nil && h.groups[testGroup].onlineTurns.known
	}, learningTime/2, "1ms").Should(gomega.BeTrue(), "before it has measured anything itself")
	h.mu.Lock()
	defer h.mu.Unlock()
	adopted := h.groups[testGroup].onlineTurns
	f.Expect(adopted.account("large", 0).share / adopted.account("small", 0).share).To(gomega.BeNumerically("~", 3, 0.5))
}

// Guards against a hub that has just begun and displaces what one has measured for longer,
// and against demands that are used for good.
func TestDemandsOfTheLongestMeasurementAreKept(t *testing.T) {
	g := gomega.NewWithT(t)
	s, now := &Service{demands: make(map[group]*toldDemands)}, time.Now()
	s.keepDemands(&usualDemands{Group: testGroup, Measured: 20 * time.Second}, now)
	s.keepDemands(&usualDemands{Group: testGroup, Measured: 5 * time.Second}, now)
	g.Expect(s.formerDemands(testGroup, now).Measured).To(gomega.Equal(20 * time.Second))
	g.Expect(s.formerDemands(testGroup, now.Add(2*demandsRetention))).To(gomega.BeNil())
}

// Guards against messages that grow with the number of organisations, and against small
// organisations that are told in place of large ones.
func TestToldDemandsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	turns := newOnlineTurns()
	for i := range 2 * maxToldDemands {
		turns.account(orgName(i), 0).demand.perSecond = float64(i)
	}
	turns.derive(turns.accounts, usualWindow)
	told := turns.usual(testGroup)
	g.Expect(told.Orgs).To(gomega.HaveLen(maxToldDemands))
	g.Expect(told.Orgs[0].Org).To(gomega.Equal(orgName(2*maxToldDemands - 1)))
}

// Guards against a hub that was one for a moment before, and keeps to the little that it
// measured then.
func TestDemandsReplaceThoseOfAMoment(t *testing.T) {
	g := gomega.NewWithT(t)
	turns, now := newOnlineTurns(), time.Now()
	turns.account("small", 0).demand.observe(50)
	turns.update(now)
	turns.adopt(&usualDemands{Group: testGroup, Measured: usualWindow, Orgs: []orgDemand{{Org: "large", PerSecond: 30}, {Org: "small", PerSecond: 10}}}, now)
	g.Expect(turns.known).To(gomega.BeTrue())
	g.Expect(turns.account("large", 0).share / turns.account("small", 0).share).To(gomega.BeNumerically("~", 3, 0.5))
}
