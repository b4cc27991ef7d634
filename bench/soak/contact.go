package soak

import (
	"context"
	"sync"
	"time"
)

// contactInterval is the time between two looks at the faults in force, far below the
// time between two faults.
const contactInterval = 20 * time.Millisecond

// acquaintTime is the time after which two nodes know each other that reach a store that
// takes writes: each renews its lease, and reads those of others, every 2 s.
const acquaintTime = 3 * time.Second

// contactWatch knows since when each node runs and reaches the store. It is safe for
// concurrent use.
type contactWatch struct {
	testbed *testbed

	mu    sync.Mutex
	nodes map[*nodeProcess]*nodeContact
	// writesFrom is the time of the last look at which the store took no writes.
	writesFrom time.Time
	// acquainted are the nodes that know each other, also after a restart, as the one that
	// goes on tells the other. Until the store has taken their leases none can know any.
	acquainted map[nodePair]bool
}

// nodePair is two nodes in either order.
type nodePair struct{ a, b *nodeProcess }

// nodeContact is the contact of one node. A time is that of the last look at which the
// node was not awake, or not in contact.
type nodeContact struct {
	starts           int32
	awakeSince       time.Time
	reachesStoreFrom time.Time
}

func newContactWatch(tb *testbed) *contactWatch {
	w := &contactWatch{testbed: tb, nodes: make(map[*nodeProcess]*nodeContact), writesFrom: time.Now(), acquainted: make(map[nodePair]bool)}
	for _, n := range tb.nodes {
		w.nodes[n] = &nodeContact{awakeSince: time.Now(), reachesStoreFrom: time.Now()}
	}
	return w
}

// run looks at the faults in force until ctx ends.
func (w *contactWatch) run(ctx context.Context) {
	for ctx.Err() == nil {
		w.look(time.Now())
		sleep(ctx, contactInterval)
	}
}

func (w *contactWatch) look(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for n, c := range w.nodes {
		paused, starts, m := n.paused.Load(), n.starts.Load(), mode(n.store.mode.Load())
		if paused {
			c.awakeSince = now
		}
		if paused || starts != c.starts || w.testbed.storeAway.Load() || m != modePass && m != modeDelay {
			c.reachesStoreFrom = now
		}
		c.starts = starts
	}
	if w.testbed.writesHeld.Load() {
		w.writesFrom = now
	}
	for a, x := range w.nodes {
		for b, y := range w.nodes {
			if now.Sub(x.reachesStoreFrom) >= acquaintTime && now.Sub(y.reachesStoreFrom) >= acquaintTime && now.Sub(w.writesFrom) >= acquaintTime {
				w.acquainted[nodePair{a, b}] = true
			}
		}
	}
}

// inContact reports whether a node has reached the store for a time, without a restart.
func (w *contactWatch) inContact(n *nodeProcess, now time.Time, d time.Duration) bool {
	w.look(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.nodes[n].reachesStoreFrom) >= d
}

// informed reports whether a node could learn for a time what the operator wrote: from the
// store or from a peer that reached it. Nodes always reach the peers that they know. A
// restart is no excuse for the node itself.
func (w *contactWatch) informed(n *nodeProcess, now time.Time, d time.Duration) bool {
	w.look(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.nodes[n].awakeSince) < d {
		return false
	}
	for peer, c := range w.nodes {
		if now.Sub(c.reachesStoreFrom) >= d && (peer == n || w.acquainted[nodePair{n, peer}]) {
			return true
		}
	}
	return false
}
