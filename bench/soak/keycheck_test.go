package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/platform/platformtest"
)

// Load: bursts of a limited organisation that cross the borders of fixed windows.
func TestMostInWindowSlides(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	at := func(seconds ...float64) (out []time.Time) {
		for _, s := range seconds {
			out = append(out, start.Add(time.Duration(s*float64(time.Second))))
		}
		return out
	}
	g.Expect(mostInWindow(nil, usageWindow)).To(gomega.Equal(0))
	g.Expect(mostInWindow(at(9, 4.9, 0, 5.1, 4.8), usageWindow)).To(gomega.Equal(4))
	g.Expect(mostInWindow(at(0, 5, 10), usageWindow)).To(gomega.Equal(2))
}

// Load: requests without a valid key, and a valid key at a node with and without contact.
func TestKeyChecksJudgeStatuses(t *testing.T) {
	for _, c := range []struct {
		request askedRequest
		status  int
		contact bool
		broken  bool
	}{
		{askedRequest{barred: true}, http.StatusUnauthorized, true, false},
		{askedRequest{barred: true}, http.StatusServiceUnavailable, false, false},
		{askedRequest{barred: true}, http.StatusServiceUnavailable, true, true},
		{askedRequest{barred: true}, http.StatusOK, false, true},
		{askedRequest{barred: true}, http.StatusBadGateway, false, true},
		{askedRequest{org: jobsOrg}, http.StatusUnauthorized, true, true},
		{askedRequest{org: jobsOrg}, http.StatusUnauthorized, false, false},
		{askedRequest{org: limitedOrg}, http.StatusTooManyRequests, true, false},
	} {
		o := newOracle()
		k := newKeyChecks(o)
		k.ask("r", c.request)
		k.checkResponse("r", &platformtest.Response{Status: c.status}, c.contact)
		gomega.NewWithT(t).Expect(len(o.violations) > 0).To(gomega.Equal(c.broken), "%+v", c)
	}
}

// Load: a node cut off from the store, beside one that reaches it, and both cut off.
func TestCutNodesAreInformedByPeers(t *testing.T) {
	g := gomega.NewWithT(t)
	tb := &testbed{nodes: []*nodeProcess{{name: "a", store: &proxy{}}, {name: "b", store: &proxy{}}}}
	a, b := tb.nodes[0], tb.nodes[1]
	w := newContactWatch(tb)
	start := time.Now()
	later := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	w.look(later(4)) // they get to know each other
	a.store.mode.Store(int32(modeBlackhole))
	w.look(later(6))
	g.Expect(w.inContact(a, later(6), revokeTime)).To(gomega.BeFalse())
	g.Expect(w.informed(a, later(6), revokeTime)).To(gomega.BeTrue())
	a.paused.Store(true)
	g.Expect(w.informed(a, later(6), revokeTime)).To(gomega.BeFalse())
	a.paused.Store(false)
	b.store.mode.Store(int32(modeReset))
	g.Expect(w.informed(a, later(12), revokeTime)).To(gomega.BeFalse())
	b.store.mode.Store(int32(modePass))
	g.Expect(w.informed(a, later(18), revokeTime)).To(gomega.BeTrue())
	b.starts.Add(1)
	g.Expect(w.informed(a, later(18), revokeTime)).To(gomega.BeFalse())
}

// Guards against blaming a node that can know no peer, as the store has taken no lease of
// any since they started.
func TestNodesLearnOfPeersFromTheStore(t *testing.T) {
	g := gomega.NewWithT(t)
	tb := &testbed{nodes: []*nodeProcess{{name: "a", store: &proxy{}}, {name: "b", store: &proxy{}}}}
	a := tb.nodes[0]
	w := newContactWatch(tb)
	start := time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	tb.writesHeld.Store(true)
	w.look(at(1))
	g.Expect(w.informed(a, at(6), revokeTime)).To(gomega.BeTrue(), "by the store")
	a.store.mode.Store(int32(modeReset))
	g.Expect(w.informed(a, at(12), revokeTime)).To(gomega.BeFalse())
	tb.writesHeld.Store(false)
	a.store.mode.Store(int32(modePass))
	w.look(at(13))
	w.look(at(16))
	tb.writesHeld.Store(true)
	a.store.mode.Store(int32(modeReset))
	w.look(at(17))
	a.starts.Add(1)
	g.Expect(w.informed(a, at(23), revokeTime)).To(gomega.BeTrue(), "by the peer that it knows")
}
