package replica

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a limit that a response withdraws although it was overtaken by one
// that names it, that states of other nodes undo or renew for ever, or that outlives
// the process that named it.
func TestLatestLimitHolds(t *testing.T) {
	g := gomega.NewWithT(t)
	registry := NewRegistry()
	info := Info{ID: "r", Service: "m", Address: "127.0.0.1:1", Slots: 8, Started: 1}
	registry.Put(info)
	r := registry.Get("r")
	epoch := time.Now()
	at := func(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }
	named, none := Limit{Named: true, PerSecond: 2}, Limit{}

	g.Expect(r.ObserveLimit(none, at(0), at(0.1))).To(gomega.BeFalse())
	_, known := r.Limit()
	g.Expect(known).To(gomega.BeFalse(), "no limit was ever named")
	g.Expect(r.ObserveLimit(named, at(0.1), at(1))).To(gomega.BeTrue())
	g.Expect(r.ObserveLimit(none, at(0.9), at(1.2))).To(gomega.BeFalse(), "its request was sent before the limit was named")
	g.Expect(r.ObserveLimit(named, at(1.1), at(1.15))).To(gomega.BeFalse())
	g.Expect(r.LearnLimit(LimitState{Limit: named, At: at(1.1)})).To(gomega.BeFalse())
	state, _ := r.Limit()
	g.Expect(state).To(gomega.Equal(LimitState{Limit: named, At: at(1)}), "the same state, a little younger on the way")
	g.Expect(r.ObserveLimit(none, at(1.3), at(1.4))).To(gomega.BeTrue())
	g.Expect(r.LearnLimit(LimitState{Limit: named, At: at(1.2)})).To(gomega.BeFalse(), "older than the withdrawal")
	g.Expect(r.LearnLimit(LimitState{Limit: named, At: at(1.5)})).To(gomega.BeTrue())
	g.Expect(registry.CountLimited()).To(gomega.Equal(1))

	info.Started = 2
	registry.Put(info)
	g.Expect(registry.CountLimited()).To(gomega.Equal(0), "a new process")
}
