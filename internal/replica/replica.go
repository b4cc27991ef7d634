package replica

import (
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/monotime"
)

const (
	// preferReportFor is the age up to which a replica's load report takes
	// precedence over the counts of other nodes, which are about as old.
	preferReportFor = 80 * time.Millisecond
	// maxReportAge is the age from which a load report is ignored. A request stays
	// at an engine for about 0.7 s, so the reported requests have ended by then.
	maxReportAge = 1400 * time.Millisecond
	// baseEjection is how long a replica is ejected after one failure. Each further
	// consecutive failure doubles it.
	baseEjection = 400 * time.Millisecond
	// maxEjection limits the ejection time, so that a replica that has recovered is
	// used again within the callers' deadlines.
	maxEjection = 4 * time.Second
)

// Replica is one backend server with the state that this node keeps about it. The
// same Replica remains in use when its registration changes.
type Replica struct {
	info    atomic.Pointer[Info]
	pool    pool
	changes chan<- struct{}

	online atomic.Int32
	batch  atomic.Int32
	// remoteCounts is the load from other nodes as they last reported it.
	remoteCounts atomic.Pointer[loadCounts]
	// report is the last load report of the replica itself.
	report atomic.Pointer[reportedLoad]
	// limit is nil until the replica names a limit.
	limit atomic.Pointer[LimitState]
	// saidLeaving is set once a response of this process of the replica has said that it
	// is leaving. republish makes the registry drop it from the replicas that take work.
	saidLeaving atomic.Bool
	republish   func()

	failures     atomic.Int32
	ejectedUntil monotime.AtomicTime
	// unreachable is set until a new connection to the replica succeeds.
	unreachable atomic.Bool
	// probing is set while a probe is running, of which there is at most one.
	probing atomic.Bool

	// openResponses counts the responses whose bodies are being read. lastRead is
	// when bytes of any response were last received.
	openResponses atomic.Int32
	lastRead      monotime.AtomicTime

	outcomes outcomes
	// standing is nil while the replica is sound by what the hub says.
	standing atomic.Pointer[Standing]
}

type reportedLoad struct {
	load Load
	at   time.Time
	// local is this node's own load on the replica when the report arrived.
	local int
}

// remoteLoad returns the reported load without this node's share.
func (l *reportedLoad) remoteLoad() float64 {
	return float64(max(0, l.load.Running+l.load.Waiting-l.local))
}

type loadCounts struct {
	online int
	batch  int
	at     time.Time
}

func newReplica(info Info, changes chan<- struct{}) *Replica {
	r := &Replica{changes: changes, republish: func() {}}
	r.info.Store(&info)
	return r
}

// Info returns the current registration. It must not be changed.
func (r *Replica) Info() *Info { return r.info.Load() }

// Leaving reports whether the replica gets no new work, by its registration or by what
// it said in a response. It does not come back without a restart.
func (r *Replica) Leaving() bool { return r.Info().Leaving || r.saidLeaving.Load() }

// SaidLeaving reports whether the replica has said in a response that it is leaving.
func (r *Replica) SaidLeaving() bool { return r.saidLeaving.Load() }

// MarkLeaving records that the process of the replica that was started at a time, as in
// its registration, has said that it is leaving. It reports whether that is news.
func (r *Replica) MarkLeaving(started int64) bool {
	if r.Info().Started != started || !r.saidLeaving.CompareAndSwap(false, true) {
		return false
	}
	r.republish()
	r.notify()
	return true
}

// Begin adds one request or item to this node's load on the replica.
func (r *Replica) Begin(class core.Class) { r.addWork(class, 1) }

// End removes one request or item from this node's load on the replica.
func (r *Replica) End(class core.Class) { r.addWork(class, -1) }

func (r *Replica) addWork(class core.Class, n int32) {
	r.counter(class).Add(n)
	if class == core.ClassBatch || n < 0 {
		r.notify()
	}
}

// notify signals on the channel of Registry.Changes that other nodes should get
// new counts.
func (r *Replica) notify() {
	select {
	case r.changes <- struct{}{}:
	default: // a signal is already pending
	}
}

// LocalLoad returns this node's own load on the replica.
func (r *Replica) LocalLoad() (online, batch int) {
	return int(r.online.Load()), int(r.batch.Load())
}

func (r *Replica) counter(class core.Class) *atomic.Int32 {
	if class == core.ClassBatch {
		return &r.batch
	}
	return &r.online
}

// RecordLoad records a load report that arrived with a response.
func (r *Replica) RecordLoad(load Load, now time.Time) {
	online, batch := r.LocalLoad()
	r.report.Store(&reportedLoad{load: load, at: now, local: online + batch})
	r.notify()
}

// SetRemoteLoad records the load that other nodes put on the replica.
func (r *Replica) SetRemoteLoad(online, batch int, now time.Time) {
	r.remoteCounts.Store(&loadCounts{online: online, batch: batch, at: now})
}

// EstimatedLoad estimates the load on the replica from all nodes, using its load
// report and the counts of other nodes.
func (r *Replica) EstimatedLoad(now time.Time) float64 {
	online, batch := r.LocalLoad()
	return float64(online+batch) + r.remoteLoad(now)
}

// TotalLoad returns the load on the replica from all nodes, using the counts that
// other nodes last reported.
func (r *Replica) TotalLoad(now time.Time) (online, batch int) {
	online, batch = r.LocalLoad()
	if s := r.remoteCounts.Load(); s != nil && now.Sub(s.at) < remoteCountsTTL {
		online, batch = online+s.online, batch+s.batch
	}
	return online, batch
}

// remoteLoad estimates the load from other nodes. It uses a recent load report of
// the replica, else the counts that the nodes reported, else an older load report
// with a weight that falls with its age.
func (r *Replica) remoteLoad(now time.Time) float64 {
	report := r.report.Load()
	age := maxReportAge
	if report != nil {
		age = now.Sub(report.at)
	}
	if age < preferReportFor {
		return report.remoteLoad()
	}
	if s := r.remoteCounts.Load(); s != nil && now.Sub(s.at) < remoteCountsTTL {
		return float64(s.online + s.batch)
	}
	if age >= maxReportAge {
		return 0
	}
	return report.remoteLoad() * (1 - float64(age)/float64(maxReportAge))
}

// Slowdown returns the reported duration of work at the replica as a multiple of
// the usual one. It is at least 1, and 1 if there is no recent report.
func (r *Replica) Slowdown(now time.Time) float64 {
	load, _ := r.LastReport(now, slowdownTTL)
	return max(1, load.Slowdown)
}

// LastReport returns the last load report if it is not older than age.
func (r *Replica) LastReport(now time.Time, age time.Duration) (Load, bool) {
	report := r.report.Load()
	if report == nil || now.Sub(report.at) > age {
		return Load{}, false
	}
	return report.load, true
}

// RecordFailure records a failed run for which the replica may be responsible. It
// ejects the replica with exponential backoff and returns for how long.
func (r *Replica) RecordFailure(now time.Time) time.Duration {
	r.ObserveFailure()
	return r.eject(now)
}

func (r *Replica) eject(now time.Time) time.Duration {
	n := r.failures.Add(1)
	wait := maxEjection
	if n < 8 { // a larger shift exceeds maxEjection anyway
		wait = min(maxEjection, baseEjection<<(n-1))
	}
	r.ejectedUntil.Set(now.Add(wait))
	return wait
}

// MarkUnreachable ejects a replica that does not respond at all until a new
// connection to it succeeds. It closes the idle connections, which may be dead
// without the kernel having noticed. It returns the time until the first probe.
func (r *Replica) MarkUnreachable(now time.Time) time.Duration {
	r.unreachable.Store(true)
	r.pool.closeAll()
	return r.eject(now)
}

// Suspect briefly ejects a replica that another node found to be stalled. It does
// nothing if this node has just received data from the replica, as its own
// observation takes precedence. It reports whether it ejected the replica.
func (r *Replica) Suspect(now time.Time) bool {
	if lastRead, ok := r.lastRead.Get(); ok && now.Sub(lastRead) < stallTimeout {
		return false
	}
	if r.ejectedUntil.After(now) {
		return false
	}
	r.ejectedUntil.Set(now.Add(baseEjection))
	return true
}

// RecordSuccess records a successful request, which ends an ejection after failures.
func (r *Replica) RecordSuccess() {
	if r.failures.Load() != 0 {
		r.failures.Store(0)
		r.ejectedUntil.Clear()
		r.unreachable.Store(false)
	}
}

// Ejected reports whether the replica is ejected because of recent failures.
func (r *Replica) Ejected(now time.Time) bool {
	return r.unreachable.Load() || r.ejectedUntil.After(now)
}

// reset discards the state that belongs to a previous process of the replica.
func (r *Replica) reset() {
	r.report.Store(nil)
	r.limit.Store(nil)
	r.saidLeaving.Store(false)
	r.failures.Store(0)
	r.ejectedUntil.Clear()
	r.unreachable.Store(false)
	r.standing.Store(nil)
	r.pool.closeAll()
}
