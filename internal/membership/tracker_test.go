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

// cluster is a set of trackers that exchange heartbeats on a fake clock. Each
// direction between two of them can be blocked.
type cluster struct {
	now      time.Time
	trackers []*Tracker
	blocked  map[[2]int]bool
}

func newCluster(size int) *cluster {
	c := &cluster{now: time.Unix(1000, 0), blocked: make(map[[2]int]bool)}
	for i := range size {
		c.trackers = append(c.trackers, NewTracker(Identity{
			ID: nodeID(i), DataCentre: "dc", Region: "r", Address: fmt.Sprint("a", i), Incarnation: 1,
		}))
	}
	return c
}

func nodeID(i int) core.NodeID { return core.NodeID(fmt.Sprint("n", i)) }

// heartbeatRound advances the clock by one interval and exchanges one heartbeat in
// each direction that is not blocked.
func (c *cluster) heartbeatRound() {
	c.now = c.now.Add(HeartbeatInterval)
	for i, from := range c.trackers {
		for j, to := range c.trackers {
			if i == j || c.blocked[[2]int{i, j}] {
				continue
			}
			to.RecordIdentity(from.Self())
			from.RecordResponse(to.Self(), to.CanReach(from.Self().ID, c.now), 0, c.now)
		}
	}
}

// stateSeenBy returns the state of node j as node i sees it.
func (c *cluster) stateSeenBy(i, j int) State {
	m, _ := c.trackers[i].View(c.now, 0).Member(nodeID(j))
	return m.State
}

// Guards against nodes that disagree on ownership for longer than the detection
// time, in particular during a one-way partition. DownAfter and three further
// rounds after a change, two nodes must see each other as live exactly if both
// directions work.
func TestPairsAgreeUnderOneWayPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 5).Draw(t, "nodes")
		c := newCluster(size)
		rounds := rapid.IntRange(1, 6).Draw(t, "rounds")
		for range rounds {
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				link := [2]int{rapid.IntRange(0, size-1).Draw(t, "from"), rapid.IntRange(0, size-1).Draw(t, "to")}
				c.blocked[link] = rapid.Bool().Draw(t, "cut")
			}
			for range int(DownAfter/HeartbeatInterval) + 3 {
				c.heartbeatRound()
			}
			for i := range size {
				for j := range size {
					if i == j {
						continue
					}
					want := !c.blocked[[2]int{i, j}] && !c.blocked[[2]int{j, i}]
					if got := c.stateSeenBy(i, j) == StateLive; got != want {
						t.Fatalf("node %d sees node %d as %v; both directions work: %v", i, j, c.stateSeenBy(i, j), want)
					}
				}
			}
		}
	})
}

// Guards against a process that sees all other nodes as down after a pause of its
// own, and against a restarted node that keeps the state of its earlier process.
func TestStateAfterPauseAndRestart(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(2)
	for range 3 {
		c.heartbeatRound()
	}
	g.Expect(c.stateSeenBy(0, 1)).To(gomega.Equal(StateLive))
	pause := 20 * time.Second
	c.now = c.now.Add(pause)
	g.Expect(c.stateSeenBy(0, 1)).To(gomega.Equal(StateDown))
	c.trackers[0].ShiftTimes(pause)
	g.Expect(c.stateSeenBy(0, 1)).To(gomega.Equal(StateLive))

	c.trackers[0].RecordIdentity(Identity{ID: nodeID(1), DataCentre: "dc", Address: "a1", Incarnation: 2, Leaving: true})
	// A late response of the earlier process.
	c.trackers[0].RecordResponse(c.trackers[1].Self(), true, 0, c.now)
	g.Expect(c.stateSeenBy(0, 1)).NotTo(gomega.Equal(StateLive))
}

// Guards against a fleet list that makes a node live or down. The list lags behind,
// so only heartbeats may decide.
func TestFleetListAloneChangesNoState(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCluster(2)
	c.trackers[0].AddFleetNode(Member{ID: "n9", DataCentre: "dc", Address: "a9"}, false)
	for range 5 {
		c.heartbeatRound()
	}
	view := c.trackers[0].View(c.now, 0)
	g.Expect(view.Live("n9")).To(gomega.BeFalse())
	c.trackers[0].BeginFleetList() // an empty list
	g.Expect(c.stateSeenBy(0, 1)).To(gomega.Equal(StateLive))
}

// Guards against an owner function that changes the owner of keys of other nodes
// when one node goes down, or that differs from the definition of rendezvous
// hashing.
func TestOwnerChangesOnlyForKeysOfTheDownNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 20).Draw(t, "nodes")
		down := rapid.IntRange(0, size-1).Draw(t, "lost")
		key := rapid.String().Draw(t, "key")
		members := make([]Member, size)
		for i := range members {
			members[i] = Member{ID: nodeID(i), DataCentre: core.DataCentre(fmt.Sprint("dc", i%2)), State: StateLive}
		}
		before, _ := NewView("n0", members).Owner(key, "")
		if reference := referenceOwner(members, key); reference != before {
			t.Fatalf("owner is %s, want %s by the definition of rendezvous hashing", before, reference)
		}
		members[down].State = StateDown
		after, _ := NewView("n0", members).Owner(key, "")
		if before != nodeID(down) && after != before {
			t.Fatalf("owner changed from %s to %s although the node that went down is %s", before, after, nodeID(down))
		}
	})
}

// referenceOwner returns the first node with the highest rendezvous weight.
func referenceOwner(members []Member, key string) core.NodeID {
	best := members[0]
	for _, m := range members[1:] {
		if rendezvousWeight(string(m.ID), key) > rendezvousWeight(string(best.ID), key) {
			best = m
		}
	}
	return best.ID
}
