package soak

import (
	"context"
	"sync"
	"time"
)

// contactInterval is the time between two looks at the faults in force, far below the
// time between two faults.
const contactInterval = 20 * time.Millisecond

// contactWatch knows since when each node runs and reaches the store. It is safe for
// concurrent use.
type contactWatch struct {
	testbed *testbed

	mu    sync.Mutex
	nodes map[*nodeProcess]*nodeContact
}

// nodeContact is the contact of one node. A time is that of the last look at which the
// node was not awake, or not in contact.
type nodeContact struct {
	starts           int32
	awakeSince       time.Time
	reachesStoreFrom time.Time
}

func newContactWatch(tb *testbed) *contactWatch {
	w := &contactWatch{testbed: tb, nodes: make(map[*nodeProcess]*nodeContact)}
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
}

// inContact reports whether a node has reached the store for a time, without a restart.
func (w *contactWatch) inContact(n *nodeProcess, now time.Time, d time.Duration) bool {
	w.look(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.nodes[n].reachesStoreFrom) >= d
}

// informed reports whether a node could learn for a time what the operator wrote: from the
// store or from a peer that reached it. Nodes always reach their peers. A restart is no
// excuse for the node itself.
func (w *contactWatch) informed(n *nodeProcess, now time.Time, d time.Duration) bool {
	w.look(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.nodes[n].awakeSince) < d {
		return false
	}
	for _, c := range w.nodes {
		if now.Sub(c.reachesStoreFrom) >= d {
			return true
		}
	}
	return false
}
