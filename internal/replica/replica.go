package replica

import (
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/steady"
)

const (
	// loadNow is how long a load report goes before the counts of other nodes,
	// which are about as old.
	loadNow = 80 * time.Millisecond
	// loadStale is when a load report says nothing any more: a request stays at
	// an engine for about 0.7 s.
	loadStale = 1400 * time.Millisecond
	// suspicionBase is how long a replica is avoided after one failure. Each
	// further failure in a row doubles it.
	suspicionBase = 400 * time.Millisecond
	// suspicionMax bounds the avoidance, so that a replica that recovered is
	// found again within the callers' deadlines.
	suspicionMax = 4 * time.Second
)

// Replica is one backend server with the state that this node keeps of it. It
// outlives changes of its registration.
type Replica struct {
	info    atomic.Pointer[Info]
	pool    pool
	changes chan<- struct{}

	online atomic.Int32
	batch  atomic.Int32
	// shared is the work of other nodes as they last told.
	shared atomic.Pointer[sharedLoad]
	report atomic.Pointer[reportedLoad]

	failures     atomic.Int32
	avoidedUntil steady.Moment
	// unreachable is set until a new connection to the replica succeeds.
	unreachable atomic.Bool
	trying      atomic.Bool

	// answering counts answers whose bodies are being read; heard is when bytes
	// of any answer last came.
	answering atomic.Int32
	heard     steady.Moment
}

type reportedLoad struct {
	load Load
	at   time.Time
	// own is this node's work there when the report was made.
	own int
}

// others is the work that the report shows besides this node's.
func (l *reportedLoad) others() float64 {
	return float64(max(0, l.load.Running+l.load.Waiting-l.own))
}

type sharedLoad struct {
	online int
	batch  int
	at     time.Time
}

func newReplica(info Info, changes chan<- struct{}) *Replica {
	r := &Replica{changes: changes}
	r.info.Store(&info)
	return r
}

// Info returns the present registration.
func (r *Replica) Info() *Info { return r.info.Load() }

// Begin counts one piece of work that this node sends to the replica.
func (r *Replica) Begin(class core.Class) { r.change(class, 1) }

// End takes one piece of work off.
func (r *Replica) End(class core.Class) { r.change(class, -1) }

func (r *Replica) change(class core.Class, n int32) {
	r.counter(class).Add(n)
	if class == core.ClassBatch || n < 0 {
		r.notify()
	}
}

// notify tells that there is something new to tell the other nodes.
func (r *Replica) notify() {
	select {
	case r.changes <- struct{}{}:
	default: // a notice is waiting
	}
}

// Own returns this node's work at the replica.
func (r *Replica) Own() (online, batch int) {
	return int(r.online.Load()), int(r.batch.Load())
}

func (r *Replica) counter(class core.Class) *atomic.Int32 {
	if class == core.ClassBatch {
		return &r.batch
	}
	return &r.online
}

// Reported records a load report that came with an answer.
func (r *Replica) Reported(load Load, now time.Time) {
	online, batch := r.Own()
	r.report.Store(&reportedLoad{load: load, at: now, own: online + batch})
	r.notify()
}

// Share records the work of other nodes at the replica.
func (r *Replica) Share(online, batch int, now time.Time) {
	r.shared.Store(&sharedLoad{online: online, batch: batch, at: now})
}

// Busy estimates the work at the replica from all nodes.
func (r *Replica) Busy(now time.Time) float64 {
	online, batch := r.Own()
	return float64(online+batch) + r.others(now)
}

// Load returns the work at the replica from all nodes as they last told.
func (r *Replica) Load(now time.Time) (online, batch int) {
	online, batch = r.Own()
	if s := r.shared.Load(); s != nil && now.Sub(s.at) < sharedFresh {
		online, batch = online+s.online, batch+s.batch
	}
	return online, batch
}

// others estimates the work of other nodes: by a report of this moment, else by
// what they told, else by an older report.
func (r *Replica) others(now time.Time) float64 {
	report := r.report.Load()
	age := loadStale
	if report != nil {
		age = now.Sub(report.at)
	}
	if age < loadNow {
		return report.others()
	}
	if s := r.shared.Load(); s != nil && now.Sub(s.at) < sharedFresh {
		return float64(s.online + s.batch)
	}
	if age >= loadStale {
		return 0
	}
	return report.others() * (1 - float64(age)/float64(loadStale))
}

// Slowdown returns how long work takes at the replica as a multiple of the
// usual, at least 1.
func (r *Replica) Slowdown(now time.Time) float64 {
	load, _ := r.LastReport(now, slowdownFresh)
	return max(1, load.Slowdown)
}

// LastReport returns the last load report if it is at most that old.
func (r *Replica) LastReport(now time.Time, age time.Duration) (Load, bool) {
	report := r.report.Load()
	if report == nil || now.Sub(report.at) > age {
		return Load{}, false
	}
	return report.load, true
}

// Failed records a failure that says that the replica may be gone.
func (r *Replica) Failed(now time.Time) time.Duration {
	n := r.failures.Add(1)
	wait := suspicionMax
	if n < 8 { // beyond that the shift exceeds the bound anyway
		wait = min(suspicionMax, suspicionBase<<(n-1))
	}
	r.avoidedUntil.Set(now.Add(wait))
	return wait
}

// Unreachable avoids a replica that does not answer at all until a new
// connection to it succeeds. Open connections may be dead without a sign and
// are given up.
func (r *Replica) Unreachable(now time.Time) time.Duration {
	r.unreachable.Store(true)
	r.pool.closeAll()
	return r.Failed(now)
}

// Suspect avoids a replica for a moment, for what another node says of it. Own
// experience goes first.
func (r *Replica) Suspect(now time.Time) {
	if heard, ok := r.heard.Get(); ok && now.Sub(heard) < silentAfter {
		return
	}
	if !r.avoidedUntil.After(now) {
		r.avoidedUntil.Set(now.Add(suspicionBase))
	}
}

// Succeeded ends the avoidance.
func (r *Replica) Succeeded() {
	if r.failures.Load() != 0 {
		r.failures.Store(0)
		r.avoidedUntil.Clear()
		r.unreachable.Store(false)
	}
}

// Avoided reports whether recent failures speak against the replica.
func (r *Replica) Avoided(now time.Time) bool {
	return r.unreachable.Load() || r.avoidedUntil.After(now)
}

// reset forgets everything that a former process of the replica said.
func (r *Replica) reset() {
	r.report.Store(nil)
	r.failures.Store(0)
	r.avoidedUntil.Clear()
	r.unreachable.Store(false)
	r.pool.closeAll()
}
