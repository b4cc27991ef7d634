package quarantine

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/replica/replicatest"
)

// silentCase is a replica that falls silent at a run, and what nodes see of it.
type silentCase struct {
	*testFleet
	t         *testing.T
	listeners []*replicatest.DarkListener
}

const silentReplicas = maxAnnouncedDark + 2

func newSilentCase(t *testing.T) *silentCase {
	c := &silentCase{testFleet: newTestFleet(t, 3), t: t}
	for i := range silentReplicas {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Expect(err).NotTo(gomega.HaveOccurred())
		dark := &replicatest.DarkListener{TCPListener: listener.(*net.TCPListener)}
		t.Cleanup(func() { dark.Close() })
		c.listeners = append(c.listeners, dark)
		c.replicas = append(c.replicas, c.info(i))
		for _, s := range c.services {
			s.Registry.Put(c.info(i))
		}
	}
	return c
}

func (c *silentCase) info(i int) replica.Info {
	return replica.Info{ID: c.id(i), Service: "m", Address: c.listeners[i].Addr().String(), Started: 1, Slots: 8}
}

func (c *silentCase) id(i int) core.ReplicaID { return core.ReplicaID(fmt.Sprintf("i-%d", i)) }

func (c *silentCase) goDark(i int) { c.Expect(c.listeners[i].GoDark()).To(gomega.Succeed()) }

// begin begins a run at the first replica.
func (c *silentCase) begin(part Part) *Run { return c.beginAt(0, part) }

func (c *silentCase) beginAt(i int, part Part) *Run {
	run, ok := c.services["n2"].Begin([]Part{part}, c.services["n2"].Registry.Get(c.id(i)))
	c.Expect(ok).To(gomega.BeTrue())
	return run
}

// suspected returns the parts of the runs that are counted at the hub.
func (c *silentCase) suspected() []Part {
	s := c.service("n0")
	s.mu.Lock()
	defer s.mu.Unlock()
	return partsOf(s.tallyOf("m").runs())
}

// Guards against a request after which replicas are dark instead of refusing connections,
// and that is never suspected, and against sound ones that are suspected because their
// replica pauses, is cut off from a node, a data centre or everything, or has answered.
func TestRunsAtDarkReplicasAreSuspected(t *testing.T) {
	for _, tc := range []struct {
		name      string
		play      func(c *silentCase, run *Run)
		suspected bool
	}{
		{"dark", func(c *silentCase, run *Run) { c.goDark(0) }, true},
		{"dark, the caller has left", func(c *silentCase, run *Run) { c.goDark(0); run.End() }, true},
		{"dark, the first hub is gone", func(c *silentCase, run *Run) { c.goDark(0); c.setDown(true, "n1") }, true},
		{"dark, and another process registers", func(c *silentCase, run *Run) {
			c.goDark(0)
			time.Sleep(silenceTime + 2*verifyTimeout)
			other := c.info(0)
			other.Started = 2
			c.services["n2"].Registry.Put(other)
		}, true},
		{"dark for a second or so", func(c *silentCase, run *Run) {
			c.goDark(0)
			time.Sleep(1500 * time.Millisecond)
			c.Expect(c.listeners[0].Light()).To(gomega.Succeed())
		}, false},
		{"the process is held up, the machine answers", func(c *silentCase, run *Run) {}, false},
		{"the answer came before", func(c *silentCase, run *Run) { run.RecordWhole(run.sent, true, nil, true); run.End(); c.goDark(0) }, false},
		{"not sent", func(c *silentCase, run *Run) { run.RecordNotRun(); run.End(); c.goDark(0) }, false},
		{"the replica was leaving", func(c *silentCase, run *Run) { run.replica.MarkLeaving(1); c.goDark(0) }, false},
		{"another node reaches it", func(c *silentCase, run *Run) {
			other := c.info(0)
			other.Address = c.listeners[1].Addr().String()
			c.services["n1"].Registry.Put(other)
			c.goDark(0)
		}, false},
		{"its data centre is silent", func(c *silentCase, run *Run) {
			for i := range silentReplicas {
				c.goDark(i)
			}
		}, false},
		{"no node of its data centre answers", func(c *silentCase, run *Run) { c.goDark(0); c.setDown(true, "n0", "n1") }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newSilentCase(t)
			run := c.begin("tainted")
			tc.play(c, run)
			if tc.suspected {
				c.Eventually(c.suspected, 5*time.Second, "20ms").Should(gomega.ContainElement(Part("tainted")))
				return
			}
			c.Consistently(c.suspected, silenceTime+darkTime+time.Second, "20ms").Should(gomega.BeEmpty())
		})
	}
}

// Guards against a run after which a replica is dark and that nobody counts, because the
// node with the run, the hubs, or all nodes are killed before that node has compared what
// it sees with others.
func TestDarkReplicasAreCountedWhenTheirNodeIsKilled(t *testing.T) {
	for _, tc := range []struct {
		name string
		kill func(c *silentCase)
	}{
		{"the node with the run", func(c *silentCase) { c.setDown(true, "n2") }},
		{"the node with the run and the first hub", func(c *silentCase) {
			c.setDown(true, "n2")
			c.restart("n0")
		}},
		{"all nodes", func(c *silentCase) { c.restart("n0", "n1", "n2") }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newSilentCase(t)
			c.begin("tainted")
			c.goDark(0)
			c.Eventually(func() bool { return c.services["n2"].Registry.Get(c.id(0)).Ejected(time.Now()) }, "2s", "5ms").Should(gomega.BeTrue())
			time.Sleep(100 * time.Millisecond) // the message and the write take a few ms
			tc.kill(c)
			c.Eventually(c.suspected, 6*time.Second, "20ms").Should(gomega.Equal([]Part{"tainted"}))
		})
	}
}

// Guards against sound runs that other nodes count because their replica was silent for a
// second or so, or to the node with the run only, when that node is killed.
func TestPausedReplicasAreNotCountedWhenTheirNodeIsKilled(t *testing.T) {
	for _, tc := range []struct {
		name string
		kill func(c *silentCase)
	}{
		{"paused", func(c *silentCase) {
			c.goDark(0)
			time.Sleep(silenceTime + 2*verifyTimeout + 200*time.Millisecond)
			c.restart("n0", "n1", "n2")
			c.Expect(c.listeners[0].Light()).To(gomega.Succeed())
		}},
		{"silent to one node", func(c *silentCase) {
			dark := c.info(0)
			for _, id := range []core.NodeID{"n0", "n1"} {
				dark.Address = c.listeners[1].Addr().String()
				c.service(id).Registry.Put(dark)
			}
			c.goDark(0)
			time.Sleep(silenceTime + 2*verifyTimeout + 200*time.Millisecond)
			c.setDown(true, "n2")
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newSilentCase(t)
			c.begin("sound")
			tc.kill(c)
			c.Consistently(c.suspected, maxDarkTime, "20ms").Should(gomega.BeEmpty())
		})
	}
}

// Guards against nodes that all tell the hubs and the store of each replica of a data
// centre that is cut off.
func TestOutageOfManyReplicasIsNotAnnounced(t *testing.T) {
	t.Parallel()
	c := newSilentCase(t)
	for i := range silentReplicas {
		c.beginAt(i, Part(fmt.Sprint("sound-", i)))
		c.goDark(i)
	}
	told := func() int { return len(c.service("n0").suspicions.latest(time.Now())) }
	c.Eventually(func() bool { return c.service("n2").silences.darkReplicas() == silentReplicas }, "2s", "5ms").Should(gomega.BeTrue())
	c.Consistently(told, 2*darkTime, "20ms").Should(gomega.BeNumerically("<=", maxAnnouncedDark))
	c.Expect(c.suspected()).To(gomega.BeEmpty())
}

// Guards against a run that is suspected because it was sent to a replica that was already
// known to be dark.
func TestRunSentIntoTheDarkIsNotSuspected(t *testing.T) {
	t.Parallel()
	c := newSilentCase(t)
	c.begin("tainted")
	c.goDark(0)
	c.Eventually(func() bool { return c.services["n2"].Registry.Get(c.id(0)).Ejected(time.Now()) }, "2s", "5ms").Should(gomega.BeTrue())
	c.begin("late")
	c.Eventually(c.suspected, 5*time.Second, "20ms").Should(gomega.Equal([]Part{"tainted"}))
	c.Consistently(c.suspected, time.Second, "20ms").Should(gomega.Equal([]Part{"tainted"}))
}

// Guards against replicas that are cut off at the same time and count as several moments,
// as nodes notice their silence one after the other, and against a dark replica that
// counts twice because other runs at it are lost later.
func TestDarkReplicasOfOneMomentCountOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	for _, tc := range []struct {
		gap     time.Duration
		moments int
	}{{300 * time.Millisecond, 1}, {silentMomentLength, 3}} {
		tally := &crashTally{}
		for i := range 3 {
			at := now.Add(time.Duration(i) * tc.gap)
			for _, found := range []*crash{
				{replica: core.ReplicaID(own(i)), started: 1, at: at, silent: true, runs: [][]Part{{"part"}}},
				{replica: core.ReplicaID(own(i)), started: 1, at: at.Add(5 * time.Second), runs: [][]Part{{"part", "late"}}},
			} {
				tally.add(found, now)
			}
		}
		g.Expect(tally.crashes).To(gomega.HaveLen(3))
		likely := mostLikely(tally.candidates(oneOf(nil)))
		g.Expect(likely.moments).To(gomega.HaveLen(tc.moments), tc.gap.String())
	}
}
