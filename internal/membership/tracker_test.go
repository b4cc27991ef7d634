package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"gentiantide.example/gentiantide/internal/core"
	_ "gentiantide.example/gentiantide/internal/fixedseed"
)

// cluster is a set of trackers joined by links that can be cut one way.
type cluster struct {
	now      time.Time
	trackers []*Tracker
	cut      map[[2]int]bool
}

func newCluster(size int) *cluster {
	c := &cluster{now: time.Unix(1000, 0), cut: make(map[[2]int]bool)}
	for i := range size {
		c.trackers = append(c.trackers, NewTracker(Identity{
			ID: nodeName(i), DataCentre: "dc", Region: "r", Address: fmt.Sprint("a", i), Incarnation: 1,
		}))
	}
	return c
}

func nodeName(i int) core.NodeID { return core.NodeID(fmt.Sprint("n", i)) }

// step runs one round of heartbeats.
func (c *cluster) step() {
	c.now = c.now.Add(HeartbeatInterval)
	for i, from := range c.trackers {
		for j, to := range c.trackers {
			if i == j || c.cut[[2]int{i, j}] {
				continue
			}
			to.Heard(from.Self())
			from.Answered(to.Self(), to.Reaches(from.Self().ID, c.now), 0, c.now)
		}
	}
}

func (c *cluster) sees(i, j int) State {
	m, _ := c.trackers[i].View(c.now, 0).Member(nodeName(j))
	return m.State
}

// Guards against nodes that disagree on ownership for longer than the
// detection time, above all during a one-way cut: after three heartbeats and
// two rounds of exchange each pair sees each other live exactly if both
// directions work.
func TestPairsAgreeUnderOneWayCuts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 5).Draw(t, "nodes")
		c := newCluster(size)
		rounds := rapid.IntRange(1, 6).Draw(t, "rounds")
		for range rounds {
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				link := [2]int{rapid.IntRange(0, size-1).Draw(t, "from"), rapid.IntRange(0, size-1).Draw(t, "to")}
				c.cut[link] = rapid.Bool().Draw(t, "cut")
			}
			for range int(DownAfter/HeartbeatInterval) + 3 {
				c.step()
			}
			for i := range size {
				for j := range size {
					if i == j {
						continue
					}
					want := !c.cut[[2]int{i, j}] && !c.cut[[2]int{j, i}]
					if got := c.sees(i, j) == StateLive; got != want {
						t.Fatalf("node %d sees node %d as %v, both directions open: %v", i, j, c.sees(i, j), want)
					}
				}
			}
		}
	})
}

// Guards against a process that wakes from a pause and takes every other node
// for dead, and against a restarted node that inherits its earlier self's state.
func TestPauseAndRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(2)
	for range 3 {
		c.step()
	}
	g.Expect(c.sees(0, 1)).To(gomega.Equal(StateLive))
	pause := 20 * time.Second
	c.now = c.now.Add(pause)
	g.Expect(c.sees(0, 1)).To(gomega.Equal(StateDown))
	c.trackers[0].Shift(pause)
	g.Expect(c.sees(0, 1)).To(gomega.Equal(StateLive))

	c.trackers[0].Heard(Identity{ID: nodeName(1), DataCentre: "dc", Address: "a1", Incarnation: 2, Leaving: true})
	c.trackers[0].Answered(c.trackers[1].Self(), true, 0, c.now) // answer of the earlier process
	g.Expect(c.sees(0, 1)).NotTo(gomega.Equal(StateLive))
}

// Guards against a fleet list that makes a node live or dead: it lags, so only
// direct heartbeats may decide.
func TestFleetListDecidesNothingAlone(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(2)
	c.trackers[0].AddCandidate(Member{ID: "n9", DataCentre: "dc", Address: "a9"}, false)
	for range 5 {
		c.step()
	}
	view := c.trackers[0].View(c.now, 0)
	g.Expect(view.Live("n9")).To(gomega.BeFalse())
	c.trackers[0].BeginList() // a list that names nobody
	g.Expect(c.sees(0, 1)).To(gomega.Equal(StateLive))
}

// Guards against an ownership function that moves more than the keys of the
// node that left, or that differs from the plain definition.
func TestOwnerMovesOnlyKeysOfTheLostNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 20).Draw(t, "nodes")
		lost := rapid.IntRange(0, size-1).Draw(t, "lost")
		key := rapid.String().Draw(t, "key")
		members := make([]Member, size)
		for i := range members {
			members[i] = Member{ID: nodeName(i), DataCentre: core.DataCentre(fmt.Sprint("dc", i%2)), State: StateLive}
		}
		before, _ := NewView("n0", members).Owner(key, "")
		if naive := naiveOwner(members, key); naive != before {
			t.Fatalf("owner %s, plain definition gives %s", before, naive)
		}
		members[lost].State = StateDown
		after, _ := NewView("n0", members).Owner(key, "")
		if before != nodeName(lost) && after != before {
			t.Fatalf("key moved from %s to %s although %s left", before, after, nodeName(lost))
		}
	})
}

func naiveOwner(members []Member, key string) core.NodeID {
	best := members[0]
	for _, m := range members[1:] {
		if rendezvousWeight(string(m.ID), key) > rendezvousWeight(string(best.ID), key) {
			best = m
		}
	}
	return best.ID
}
