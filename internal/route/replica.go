package route

import (
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
)

// probeTimeout is how long a probe prevents further probes if its outcome is
// never reported.
const probeTimeout = 30 * time.Second

// Replica is a replica in a table. Its state is shared with the Replica of the
// same ID in later tables.
type Replica struct {
	// Info is the directory's entry of the replica.
	Info directory.Replica
	// Slots is the number of slots according to the settings, or to the
	// directory if the settings have none.
	Slots int
	// BatchSlots is the number of slots in use below which batch work may get
	// another.
	BatchSlots int
	state      *replicaState
	// hash is the hash of the replica's ID for rendezvous hashing.
	hash uint64
}

// replicaState is this node's state of a replica beyond the directory. Router
// reads the atomic fields without a lock when it chooses.
type replicaState struct {
	// online is the estimated number of running and waiting online requests,
	// batch that of running batch requests.
	online atomic.Int64
	batch  atomic.Int64
	// ejectedUntil is in Unix nanoseconds; 0 while not ejected. After that
	// time the replica gets one probe at a time until it is readmitted.
	ejectedUntil atomic.Int64
	// probeUntil is when the current probe times out, in Unix nanoseconds; 0
	// if there is none.
	probeUntil atomic.Int64
	// health is guarded by the mutex of Router.
	health      health
	ownerReport ownerReport
	// published is the load last applied from the directory. The mutex of Router
	// guards it.
	published publishedLoad
}

// publishedLoad is the load of a replica in the directory.
type publishedLoad struct {
	known                bool
	inUse, queued, batch int
}

// ID returns the replica's ID.
func (r *Replica) ID() core.ReplicaID { return r.Info.ID }

// AddRequest adds a request of this node to the estimate of the replica's load.
func (r *Replica) AddRequest(class core.Class) { r.counter(class).Add(1) }

// RemoveRequest removes a request from the estimate when it ends.
func (r *Replica) RemoveRequest(class core.Class) {
	if c := r.counter(class); c.Add(-1) < 0 {
		c.Store(0)
	}
}

// SetLoad sets the estimate to the counts of the replica's owner.
func (r *Replica) SetLoad(online, batch int) {
	r.state.online.Store(int64(online))
	r.state.batch.Store(int64(batch))
}

// HasFreeSlot reports whether a slot is free for the class, by estimate. For
// online work the slots of batch work count as free, because it is preempted.
func (r *Replica) HasFreeSlot(class core.Class) bool {
	if class == core.ClassOnline {
		return r.load(class) < int64(r.Slots)
	}
	return r.load(class) < int64(r.BatchSlots)
}

// HasQueue reports whether online requests wait at the replica, by estimate. A
// full replica without a queue may have a free slot by now; a replica with a
// queue does not.
func (r *Replica) HasQueue() bool { return r.state.online.Load() > int64(r.Slots) }

// Estimate returns the estimated numbers of online and batch requests.
func (r *Replica) Estimate() (online, batch int) {
	return int(r.state.online.Load()), int(r.state.batch.Load())
}

// EndProbe allows the next probe.
func (r *Replica) EndProbe() { r.state.probeUntil.Store(0) }

// PostponeProbe ends a probe that was not sent and allows the next one after the
// duration.
func (r *Replica) PostponeProbe(now time.Time, duration time.Duration) {
	if until := r.state.ejectedUntil.Load(); until != 0 {
		r.state.ejectedUntil.CompareAndSwap(until, now.Add(duration).UnixNano())
	}
	r.EndProbe()
}

func (r *Replica) counter(class core.Class) *atomic.Int64 {
	if class == core.ClassOnline {
		return &r.state.online
	}
	return &r.state.batch
}

// claimProbe starts a probe and returns true, unless another one is in flight.
func (r *Replica) claimProbe(now int64) bool {
	until := r.state.probeUntil.Load()
	return now >= until && r.state.probeUntil.CompareAndSwap(until, now+int64(probeTimeout))
}
