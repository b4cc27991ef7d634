package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
)

// deadlyRequest lets a request crash a number of replicas, one every gap. Each node sends
// it in turn.
func (f *testFleet) deadlyRequest(name string, crashes int, gap time.Duration, prompt ...Part) Part {
	request := RequestPart("h", "POST", "/"+name, nil)
	for i := range crashes {
		f.reportCrash(f.node(i), append(append([]Part{}, prompt...), request)...)
		time.Sleep(gap)
	}
	return request
}

// soundRuns lets runs with the parts prove harmless, at the nodes in turn, until the
// returned function is called.
func (f *testFleet) soundRuns(parts ...Part) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for i := 0; ; i++ {
			f.harmless(f.node(i), parts...)
			select {
			case <-done:
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	}()
	return func() { close(done); <-ended }
}

// Guards against a part that is never found because each request with it is quarantined
// by itself, which hid the crashes that they have in common: on routes on which a request
// reaches several replicas, the part took down all replicas again and again.
func TestPartThatQuarantinedRequestsShareIsFound(t *testing.T) {
	const pause = 3400 * time.Millisecond
	for name, prompt := range map[string]func(i int) []Part{
		"first part":        func(i int) []Part { return []Part{"bad", "template", own(i)} },
		"middle part":       func(i int) []Part { return []Part{"f", "bad", own(i)} },
		"last shared part":  func(int) []Part { return []Part{"f", "template", "bad"} },
		"first and only":    func(int) []Part { return []Part{"bad"} },
		"different callers": func(i int) []Part { return []Part{Part(fmt.Sprintf("caller-%d", i)), "bad"} },
	} {
		for _, attempts := range []int{3, 4, 6, 12} {
			for _, gap := range []time.Duration{5 * time.Millisecond, 60 * time.Millisecond, 110 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %d runs, %s", name, attempts, gap), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newTestFleet(t, 4)
						defer f.soundRuns("f", "template", "fine")()
						sent := 0
						for ; sent < 10 && !f.blocked("n3", "bad"); sent++ {
							end := time.Now().Add(pause)
							f.deadlyRequest(fmt.Sprint(sent), attempts, gap, prompt(sent)...)
							time.Sleep(time.Until(end))
						}
						f.Expect(sent).To(gomega.BeNumerically("<=", 2), "the second request shows it")
						for _, sound := range []Part{"f", "template", "fine"} {
							f.Expect(f.blocked("n1", sound)).To(gomega.BeFalse(), string(sound))
						}
					})
				})
			}
		}
	}
}

// Guards against a sound part that is quarantined because two requests, each of which
// crashes replicas by itself, have it in common.
func TestSoundPartOfTwoDeadlyRequestsIsNotQuarantined(t *testing.T) {
	for _, gap := range []time.Duration{5 * time.Millisecond, 110 * time.Millisecond, 400 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			f := newTestFleet(t, 4)
			f.harmless("n2", "f", "rare")
			time.Sleep(time.Second)
			defer f.soundRuns("f", "fine")()
			var requests []Part
			for i := range 2 {
				requests = append(requests, f.deadlyRequest(fmt.Sprint(i), 4, gap, "f", "rare"))
			}
			time.Sleep(decisionTime)
			f.Expect(f.quarantinedRequests(requests)).To(gomega.Equal(2))
			f.crash("n1", "f", "rare", "own") // by another cause
			time.Sleep(decisionTime)
			f.Expect(f.blocked("n0", "f")).To(gomega.BeFalse())
			f.Expect(f.blocked("n0", "rare")).To(gomega.BeFalse())
		})
	}
}
