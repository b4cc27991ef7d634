package route

import (
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/directory"
)

// probeTimeout is how long a test request may keep others from being sent, in
// case its outcome is never reported.
const probeTimeout = 30 * time.Second

// Replica is one replica in a table, with the counters that outlive the table.
type Replica struct {
	// Info is the directory's entry of the replica.
	Info directory.Replica
	// Slots is the number of slots by the settings, else by the directory.
	Slots int
	// BatchSlots is the number of slots up to which batch may fill the replica.
	BatchSlots int
	state      *state
	// hash is the hash of the replica's id for rendezvous hashing.
	hash uint64
}

// state is what this node knows of a replica beyond the directory. Atomics are
// read by choices.
type state struct {
	// online estimates the online requests in use and waiting; batch estimates
	// the batch requests in use.
	online atomic.Int64
	batch  atomic.Int64
	// ejectedUntil is in Unix nanoseconds; 0 while not ejected. After that
	// time the replica gets single test requests until it has proved itself.
	ejectedUntil atomic.Int64
	// probeUntil is when the present test request no longer counts; 0: none.
	probeUntil atomic.Int64
	// health is guarded by the mutex of Router.
	health health
	shared shared
	// published is the load last taken from the directory; guarded as health.
	published published
}

// published is a load as the directory holds it.
type published struct {
	known                bool
	inUse, queued, batch int
}

// ID returns the replica's id.
func (r *Replica) ID() core.ReplicaID { return r.Info.ID }

// Sent adds one request that this node sends to the replica.
func (r *Replica) Sent(class core.Class) { r.counter(class).Add(1) }

// Done takes one request off that left the replica.
func (r *Replica) Done(class core.Class) {
	if c := r.counter(class); c.Add(-1) < 0 {
		c.Store(0)
	}
}

// SetLoad replaces the estimate by the counts of the replica's owner.
func (r *Replica) SetLoad(online, batch int) {
	r.state.online.Store(int64(online))
	r.state.batch.Store(int64(batch))
}

// HasRoom reports whether by estimate a slot is free for the class. For online
// work the slots of batch work count as free, because batch is preempted.
func (r *Replica) HasRoom(class core.Class) bool {
	if class == core.ClassOnline {
		return r.load(class) < int64(r.Slots)
	}
	return r.load(class) < int64(r.BatchSlots)
}

// HasQueue reports whether by estimate online requests wait at the replica. A
// replica that is just full may have a free slot by now; one with a queue not.
func (r *Replica) HasQueue() bool { return r.state.online.Load() > int64(r.Slots) }

// Estimate returns the estimated numbers of online and batch requests.
func (r *Replica) Estimate() (online, batch int) {
	return int(r.state.online.Load()), int(r.state.batch.Load())
}

// EndProbe allows the next test request.
func (r *Replica) EndProbe() { r.state.probeUntil.Store(0) }

// PostponeProbe ends a test request that was not sent and allows the next one
// after the duration.
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

// beginProbe claims the one test request at a time.
func (r *Replica) beginProbe(now int64) bool {
	until := r.state.probeUntil.Load()
	return now >= until && r.state.probeUntil.CompareAndSwap(until, now+int64(probeTimeout))
}
