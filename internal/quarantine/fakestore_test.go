package quarantine

import (
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
)

// renewInterval is the time between the renewals of a node's lease.
const renewInterval = 2 * time.Second

// fakeStore holds the shared states of a fleet. Its clock began before the nodes did.
type fakeStore struct {
	mu     sync.Mutex
	began  time.Time
	rows   map[string][]byte
	writes int
}

// renew merges the stored states with those of a node, as a renewal of its lease does.
func (f *testFleet) renew(id core.NodeID) {
	f.mu.Lock()
	s, down := f.services[id], f.down[id]
	f.mu.Unlock()
	if down {
		return
	}
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	if f.store.rows == nil {
		f.store.rows, f.store.began = make(map[string][]byte), time.Now().Add(-time.Hour)
	}
	for name, state := range map[string]nodes.SharedState{"shared": s, "crashes": s.Crashes(), "silences": s.Suspicions()} {
		if update, changed := state.Reconcile(f.store.rows[name], time.Since(f.store.began)); changed {
			f.store.rows[name] = update
			f.store.writes++
		}
	}
}

// stored returns a stored state, and how often any was written.
func (f *testFleet) stored(name string) (row []byte, writes int) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return f.store.rows[name], f.store.writes
}

// renewals renews the leases of all nodes, each at another time, until the returned
// function is called.
func (f *testFleet) renewals() (stop func()) {
	done := make(chan struct{})
	var ended sync.WaitGroup
	for i := range len(f.services) {
		ended.Go(func() {
			for pause := time.Duration(i) * 50 * time.Millisecond; ; pause = renewInterval {
				select {
				case <-done:
					return
				case <-time.After(pause):
					f.renew(f.node(i))
				}
			}
		})
	}
	return func() { close(done); ended.Wait() }
}

// restart kills nodes at the same time and starts them again, with nothing in memory but
// what they read from the store.
func (f *testFleet) restart(ids ...core.NodeID) {
	f.setDown(true, ids...)
	time.Sleep(500 * time.Millisecond)
	for _, id := range ids {
		f.start(id)
	}
	f.setDown(false, ids...)
	for _, id := range ids {
		f.renew(id) // before it is ready
	}
}

func (f *testFleet) setDown(down bool, ids ...core.NodeID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		f.down[id] = down
	}
}
