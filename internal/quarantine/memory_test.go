package quarantine

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

const (
	// contactTime is the time after the third crash, or the fifth, from which hardly any
	// such request may reach a replica.
	contactTime = 3 * time.Second
	crashPause  = 4 * time.Second
)

// loss is what happens to nodes of a fleet of four, of which n0 is the first hub and n2
// reports the crashes, at some time after each crash.
type loss struct {
	after time.Duration
	do    func(f *testFleet)
}

var losses = map[string]loss{
	"hub killed":                         {2 * time.Second, func(f *testFleet) { f.restart("n0") }},
	"hub killed at once":                 {20 * time.Millisecond, func(f *testFleet) { f.restart("n0") }},
	"reporting node killed":              {2 * time.Second, func(f *testFleet) { f.restart("n2") }},
	"hub and reporting node killed":      {time.Second, func(f *testFleet) { f.restart("n0", "n2") }},
	"hub killed, then reporting node":    {time.Second, func(f *testFleet) { f.restart("n0"); f.restart("n2") }},
	"reporting node killed, then hub":    {time.Second, func(f *testFleet) { f.restart("n2"); f.restart("n0") }},
	"all hubs and reporting node killed": {time.Second, func(f *testFleet) { f.restart("n0", "n1", "n2") }},
	"all nodes killed":                   {2 * time.Second, func(f *testFleet) { f.restart("n0", "n1", "n2", "n3") }},
	"hub cut off":                        {100 * time.Millisecond, func(f *testFleet) { f.setDown(true, "n0"); time.Sleep(2 * time.Second); f.setDown(false, "n0") }},
	"reporting node cut off":             {100 * time.Millisecond, func(f *testFleet) { f.setDown(true, "n2"); time.Sleep(2 * time.Second); f.setDown(false, "n2") }},
	"hub gone for good":                  {10 * time.Millisecond, func(f *testFleet) { f.setDown(true, "n0"); f.exclude("n0") }},
	"hub cut off, all others killed":     {time.Second, func(f *testFleet) { f.setDown(true, "n0"); f.restart("n1", "n2", "n3"); f.setDown(false, "n0") }},
}

func (f *testFleet) exclude(id core.NodeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.excluded[id] = true
}

// Guards against crashes that are forgotten with the node that counted them, or with those
// that reported them: a request, or a part, that crashed two replicas in the life of each
// hub was never quarantined. And against the opposite: sound parts that all crashes share
// by chance, behind the deadly part, are known to be harmless from before.
func TestCrashesAreRememberedWhenNodesAreLost(t *testing.T) {
	for name, loss := range losses {
		for _, kind := range []string{"request", "part", "item"} {
			t.Run(kind+", "+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newTestFleet(t, 4)
					defer f.renewals()()
					defer f.soundRuns("f", "fine")()
					f.harmless("n3", "f", "rare")
					time.Sleep(3 * time.Second)
					deadly := RequestPart("h", "POST", "/deadly", nil)
					blocked := Part("bad")
					if kind == "request" {
						blocked = deadly
					}
					var third time.Time
					for i := range 6 {
						var run []Part
						switch kind {
						case "request":
							run = []Part{"f", "rare", deadly}
						case "part":
							run = []Part{"f", "bad", "rare", RequestPart("h", "POST", fmt.Sprint(i), nil)}
						default:
							run = []Part{"f", "bad", "rare"}
						}
						if _, refused := f.service("n2").Blocked(run); refused {
							break
						}
						f.Expect(i).To(gomega.BeNumerically("<", 3), "the third crash decides")
						if i == 2 {
							third = time.Now()
						}
						go f.reportCrash("n2", run...)
						time.Sleep(loss.after)
						loss.do(f)
						time.Sleep(crashPause - loss.after)
					}
					time.Sleep(time.Until(third.Add(contactTime)))
					for id := range f.services {
						if !f.excluded[id] {
							f.Expect(f.blocked(id, blocked)).To(gomega.BeTrue(), "%s at %s", blocked, id)
							for _, sound := range []Part{"f", "rare", "fine"} {
								f.Expect(f.blocked(id, sound)).To(gomega.BeFalse(), "%s at %s", sound, id)
							}
						}
					}
				})
			})
		}
	}
}

// Guards against a node that starts while the store is away, becomes the hub, and does
// not know the crashes that its peers have counted.
func TestNodeStartedWithoutTheStoreKnowsTheCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3)
		defer f.soundRuns("f")()
		for i := range 2 {
			f.crash("n2", "f", "bad", own(i))
		}
		copied, err := f.services["n1"].CrashCopy()
		f.Expect(err).NotTo(gomega.HaveOccurred())
		f.start("n0")
		f.Expect(f.services["n0"].AdoptCrashes(copied)).To(gomega.Succeed())
		f.crash("n2", "f", "bad", own(2))
		time.Sleep(decisionTime)
		for id := range f.services {
			f.Expect(f.blocked(id, "bad")).To(gomega.BeTrue())
		}
	})
}

// Guards against a crash that is forgotten because the node that saw it stops before a hub
// has taken the report: the first hub is gone, and the second one is asked after its
// timeout.
func TestStoppingNodeReportsItsLastCrashes(t *testing.T) {
	f := newTestFleet(t, 3)
	f.setDown(true, "n0")
	target := crashedReplica()
	f.Expect(target.Connect(t.Context())).To(gomega.Equal(replica.Refused))
	run, ok := f.service("n2").Begin([]Part{"f", "bad"}, target)
	f.Expect(ok).To(gomega.BeTrue())
	run.RecordEnd(io.EOF, false)
	f.service("n2").Stop(t.Context())
	known, _ := f.service("n1").evidence(time.Now(), func(*crash) time.Duration { return 0 })
	f.Expect(known.Crashes).To(gomega.HaveLen(1))
	time.Sleep(2 * gatherDelay)
}

// Guards against a crash that counts twice because the store gives it another time, and
// against nodes that write the same crashes again and again, or keep them for ever.
func TestCrashesAreStoredOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 4)
		stop := f.renewals()
		for i := range 2 {
			f.crash("n2", "f", "bad", own(i))
		}
		time.Sleep(2 * renewInterval)
		_, writes := f.stored("crashes")
		f.Expect(writes).To(gomega.BeNumerically("<=", 4))
		f.restart("n0", "n1")
		time.Sleep(5 * renewInterval)
		_, later := f.stored("crashes")
		f.Expect(later).To(gomega.Equal(writes))
		for id := range f.services {
			known, _ := f.service(id).evidence(time.Now(), func(*crash) time.Duration { return 0 })
			f.Expect(known.Crashes).To(gomega.HaveLen(2), string(id))
		}
		time.Sleep(crashRetention)
		row, _ := f.stored("crashes")
		f.Expect(row).To(gomega.BeNil())
		stop()
		for id, s := range f.services {
			f.Expect(s.tallies).To(gomega.BeEmpty(), string(id))
		}
	})
}

// Guards against evidence that takes more of the store than its bound, or that names parts
// it does not list.
func TestStoredCrashesAreBoundedAndChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1)
		for range 3 * maxStoredCrashes {
			f.reportCrash("n0", "f", own(f.crashes))
		}
		time.Sleep(decisionTime)
		out, _ := f.services["n0"].evidence(time.Now(), func(*crash) time.Duration { return 0 })
		f.Expect(out.Crashes).To(gomega.HaveLen(maxStoredCrashes))
		f.Expect(out.check()).To(gomega.Succeed())
		out.Crashes[0].Runs[0][0] = len(out.Parts)
		f.Expect(out.check()).To(gomega.MatchError(errEvidenceIndex))
	})
}
