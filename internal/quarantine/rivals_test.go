package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
)

// crashTogether lets a further replica crash at which several runs were, each reported by
// another node.
func (f *testFleet) crashTogether(runs ...[]Part) {
	f.crashes++
	id := core.ReplicaID(fmt.Sprintf("i-%d", f.crashes))
	for i, run := range runs {
		f.service(f.node(i)).sendReport(&report{Service: "m", Replica: id, Parts: run})
	}
}

// Guards against sound requests that are refused because they were sent on to the same
// replicas as a request that crashed one after the other, until none was left on which
// they could end: by their crashes they could not be told apart, and one was picked.
func TestSoundRequestsSentOnWithADeadlyOneAreNotQuarantined(t *testing.T) {
	for seed := range 12 {
		for _, gap := range []time.Duration{5 * time.Millisecond, 150 * time.Millisecond} {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 4)
				deadly := RequestPart("h", "GET", fmt.Sprintf("/deadly-%d", seed), nil)
				var sound []Part
				runs := [][]Part{{"f", deadly}}
				for i := range 3 {
					sound = append(sound, RequestPart("h", "GET", fmt.Sprintf("/sound-%d-%d", seed, i), nil))
					runs = append(runs, []Part{"f", sound[i]})
				}
				stop := f.soundRuns("f", "other")
				defer func() { stop() }()
				for range 3 {
					f.crashTogether(runs...)
					time.Sleep(gap)
				}
				time.Sleep(crashPause)
				f.Expect(f.quarantinedRequests(sound)).To(gomega.BeZero())
				f.crashTogether(runs[0], []Part{"f", RequestPart("h", "GET", "/bystander", nil)})
				time.Sleep(decisionTime)
				f.Expect(f.quarantinedRequests([]Part{deadly})).To(gomega.Equal(1))
				f.Expect(f.quarantinedRequests(sound)).To(gomega.BeZero())
				f.Expect(f.blocked("n0", "f")).To(gomega.BeFalse())
			})
		}
	}
}

// Guards against a deadly request that goes free because sound ones were with it: once
// these prove harmless, it alone is left, and no further crash is needed.
func TestProofsOfOthersLeaveTheDeadlyRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		defer f.renewals()()
		deadly, sound := RequestPart("h", "GET", "/deadly", nil), RequestPart("h", "GET", "/sound", nil)
		defer f.soundRuns("f", "other")()
		for range 3 {
			f.crashTogether([]Part{"f", deadly}, []Part{"f", sound})
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(crashPause)
		f.Expect(f.quarantinedRequests([]Part{deadly})).To(gomega.BeZero())
		f.harmless("n3", "f", sound)
		time.Sleep(crashPause)
		f.Expect(f.quarantinedRequests([]Part{deadly})).To(gomega.Equal(1))
		f.Expect(f.quarantinedRequests([]Part{sound})).To(gomega.BeZero())
	})
}

// Guards against a sound request that is refused because it was in the crashes of several
// requests, or items, with a deadly part, of which none was in as many.
func TestSoundRequestInCrashesOfADeadlyPartIsNotQuarantined(t *testing.T) {
	for _, online := range []bool{true, false} {
		for _, gap := range []time.Duration{5 * time.Millisecond, 150 * time.Millisecond} {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t, 4)
				sound := RequestPart("h", "GET", "/sound", nil)
				tainted := func(i int) []Part {
					if !online {
						return []Part{"f", "bad"}
					}
					return []Part{"f", "bad", RequestPart("h", "POST", fmt.Sprint(i), nil)}
				}
				defer f.soundRuns("f", "other")()
				crashes := 0
				for i := 0; i < 5 && !f.blocked("n0", "bad"); i++ {
					for range 3 {
						if crashes++; crashes <= 4 {
							f.crashTogether(tainted(i), []Part{"f", "fine", sound})
						} else {
							f.crashTogether(tainted(i))
						}
						time.Sleep(gap)
					}
					time.Sleep(crashPause)
					f.Expect(f.quarantinedRequests([]Part{sound})).To(gomega.BeZero())
				}
				f.Expect(f.blocked("n0", "bad")).To(gomega.BeTrue())
				f.Expect(crashes).To(gomega.BeNumerically("<=", 9))
				f.Expect(f.blocked("n0", "fine")).To(gomega.BeFalse())
				f.Expect(f.blocked("n0", "f")).To(gomega.BeFalse())
			})
		}
	}
}
