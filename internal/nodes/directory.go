package nodes

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/monotime"
)

const (
	// Table is the name of the table with one row for each node.
	Table = "nodes"
	// minRenewInterval is the shortest time between lease renewals. Each renewal
	// costs one write and one read of the whole table.
	minRenewInterval = 2 * time.Second
	// renewIntervalPerNode makes the renewal interval grow with the number of
	// nodes in large fleets. The bytes that all nodes read per second then grow
	// linearly with the size of the fleet instead of quadratically.
	renewIntervalPerNode = 33 * time.Millisecond
	// leaseRenewals is the length of a lease in renewal intervals. Two
	// consecutive renewals may fail.
	leaseRenewals = 3
	// settleTime is the time after an outage of the store in which nodes renew
	// their leases. They do so within the retry delay plus the time of a call.
	settleTime = 2 * time.Second
	// lapsedRetention is how long the row of a node is kept after its lease lapsed.
	lapsedRetention = time.Minute
	// maxDeletions bounds the rows that one renewal deletes, with two entries of its
	// transaction each. The platform's store takes 100 entries.
	maxDeletions = 40
	// retryDelay is the delay after a failed renewal.
	retryDelay = 300 * time.Millisecond
)

// View is the state of the nodes as of one read of the table.
type View struct {
	// Alive holds the nodes with a valid lease, keyed by Record.Owner.
	Alive map[string]Record
	// Lapsed holds the nodes whose lease lapsed without a call of Leave, keyed by
	// Record.Owner, while their rows are kept. Such a node may still be running
	// and only be cut off from the store.
	Lapsed map[string]Record
	// Clock is the time of the store's clock at the read.
	Clock time.Duration
	// At is the local time at which the read started.
	At time.Time
	// Settled is set if live nodes have had time to renew their leases since the
	// last outage of the store.
	Settled bool
}

// Directory registers this node and reads the records of the other nodes.
type Directory struct {
	store infra.PartitionedTable
	self  Record
	log   *slog.Logger
	view  atomic.Pointer[View]
	// restored is when a renewal succeeded again after a failed one.
	restored monotime.AtomicTime
	failing  atomic.Bool
	stopping atomic.Bool
	settings atomic.Pointer[settingsState]
	// mu is held by renew and Leave, so that no renewal undoes Leave.
	mu   sync.Mutex
	left bool
	// version is the version of this node's row as last written by this process.
	version uint64
	// ignored holds the keys of the rows that cannot be decoded, which are logged once.
	ignored map[string]bool
	// changes receives a signal after the view was replaced.
	changes chan struct{}
	// renewNow makes Run renew the lease before its time.
	renewNow chan struct{}
	shared   []sharedRow
}

// settingsState is what a node says of its settings file, see Record.
type settingsState struct {
	version uint64
	waits   bool
}

// NewDirectory returns a directory for the node with the given record.
func NewDirectory(store infra.PartitionedTable, self Record, log *slog.Logger) *Directory {
	d := &Directory{store: store, self: self, log: log, changes: make(chan struct{}, 1), renewNow: make(chan struct{}, 1)}
	d.view.Store(&View{})
	return d
}

// Self returns this node's record.
func (d *Directory) Self() Record {
	record := d.self
	if s := d.settings.Load(); s != nil {
		record.Settings, record.SettingsWait = s.version, s.waits
	}
	return record
}

// View returns the state as of the latest successful renewal.
func (d *Directory) View() *View { return d.view.Load() }

// Changes receives a signal after the view was replaced. It has one receiver.
func (d *Directory) Changes() <-chan struct{} { return d.changes }

// Run renews this node's lease and reads the table until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := d.renew(ctx)
		if err == nil && d.failing.Load() {
			d.restored.Set(time.Now())
			d.log.Info("node lease renewed again", "node", d.self.ID)
		}
		if err != nil && !d.failing.Load() && ctx.Err() == nil {
			d.log.Warn("node lease could not be renewed", "node", d.self.ID, "error", err)
		}
		d.failing.Store(err != nil)
		pause := renewInterval(len(d.View().Alive))
		if d.failing.Load() {
			pause = retryDelay
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		case <-d.renewNow:
		}
	}
}

func (d *Directory) notify() {
	select {
	case d.changes <- struct{}{}:
	default: // a signal is already pending
	}
}

// Records returns the nodes in the view, with a valid or a lapsed lease.
func (v *View) Records() []Record {
	out := make([]Record, 0, len(v.Alive)+len(v.Lapsed))
	for _, list := range []map[string]Record{v.Alive, v.Lapsed} {
		for _, record := range list {
			out = append(out, record)
		}
	}
	return out
}

// Preload sets the view to the nodes that a peer knows, until this node has read the
// table. Whether they still run is not known, so they count as lapsed.
func (d *Directory) Preload(records []Record) bool {
	view := &View{Alive: map[string]Record{}, Lapsed: make(map[string]Record, len(records))}
	for _, record := range records {
		if record.ID != d.self.ID {
			view.Lapsed[record.Owner()] = record
		}
	}
	current := d.View()
	// A renewal may hold the lock for as long as the store does not answer.
	if len(view.Lapsed) == 0 || !current.At.IsZero() || !d.view.CompareAndSwap(current, view) {
		return false
	}
	d.notify()
	return true
}

// Add adds a node that another one has heard of to the view, until the next read of
// the table. Like a preloaded node it counts as lapsed. It reports whether the node
// was not known.
func (d *Directory) Add(record Record) bool {
	for {
		current := d.View()
		if record.ID == d.self.ID || slices.ContainsFunc(current.Records(), func(r Record) bool { return r.ID == record.ID }) {
			return false
		}
		view := *current
		view.Lapsed = maps.Clone(current.Lapsed)
		if view.Lapsed == nil {
			view.Lapsed = make(map[string]Record)
		}
		view.Lapsed[record.Owner()] = record
		if d.view.CompareAndSwap(current, &view) {
			d.notify()
			return true
		}
	}
}

// Failing reports whether the last renewal failed.
func (d *Directory) Failing() bool { return d.failing.Load() }

// settled reports whether the other nodes had time to renew their leases since
// the last outage.
func (d *Directory) settled(now time.Time) bool {
	restored, ok := d.restored.Get()
	return !d.failing.Load() && (!ok || now.Sub(restored) >= settleTime)
}

// renewInterval returns the time between renewals for the given number of nodes.
func renewInterval(nodes int) time.Duration {
	return max(minRenewInterval, time.Duration(nodes)*renewIntervalPerNode)
}

// MarkStopping tells the other nodes, with a renewal of the lease that is due at once,
// that this one is stopping.
func (d *Directory) MarkStopping() {
	d.stopping.Store(true)
	d.RenewSoon()
}

// SetSettings sets the version of the settings file that this node has read, and whether
// something of it waits for a restart. Other nodes learn it with the next renewal.
func (d *Directory) SetSettings(version uint64, waits bool) {
	d.settings.Store(&settingsState{version, waits})
	d.RenewSoon()
}

// Leave ends this node's lease, so that other nodes take over its jobs at once.
// If a later run of the process has written the row since, the row stays and
// the error is infra.ErrConflict.
func (d *Directory) Leave(ctx context.Context) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left = true
	key := d.key(d.self.ID)
	_, err := d.store.CommitRows(ctx, infra.RowTxn{
		Conditions: []infra.RowCondition{{RowKey: key, Version: d.version}},
		Writes:     []infra.RowWrite{{RowKey: key, Delete: true}},
	})
	return err
}

func (d *Directory) key(id core.NodeID) infra.RowKey {
	return infra.RowKey{Table: Table, Key: string(id)}
}

// renew reads the table and the store's clock, writes this node's row with a new
// lease, and deletes rows of nodes whose leases lapsed long ago. After Leave it
// does nothing.
func (d *Directory) renew(ctx context.Context) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.left {
		return nil
	}
	at := time.Now()
	set, err := d.store.Range(ctx, infra.RowRange{Table: Table})
	if err != nil {
		return err
	}
	read := time.Now()
	sharedRows := takeSharedRows(&set)
	record := d.Self()
	record.Stopping = d.stopping.Load()
	record.Until = set.Clock + leaseRenewals*renewInterval(len(set.Rows))
	value, err := msgpack.Marshal(&record)
	if err != nil {
		return err
	}
	txn := infra.RowTxn{Writes: []infra.RowWrite{{RowKey: d.key(record.ID), Value: value}}}
	view := &View{Alive: make(map[string]Record), Lapsed: make(map[string]Record), Clock: set.Clock, At: at, Settled: d.settled(at)}
	ignored := make(map[string]bool)
	for _, row := range set.Rows {
		other, err := decodeRecord(&row)
		if err != nil {
			ignored[row.Key] = true
			if !d.ignored[row.Key] {
				d.log.Warn("node row ignored: it cannot be decoded", "key", row.Key, "version", row.Version, "reason", err)
			}
			continue
		}
		switch {
		case other.ID == d.self.ID:
		case other.Until > set.Clock:
			view.Alive[other.Owner()] = other
		case other.Until+lapsedRetention < set.Clock && len(txn.Conditions) >= maxDeletions:
		case other.Until+lapsedRetention < set.Clock:
			txn.Conditions = append(txn.Conditions, infra.RowCondition{RowKey: row.RowKey, Version: row.Version})
			txn.Writes = append(txn.Writes, infra.RowWrite{RowKey: row.RowKey, Delete: true})
		default:
			view.Lapsed[other.Owner()] = other
		}
	}
	d.ignored = ignored
	version, err := d.store.CommitRows(ctx, txn)
	if err != nil {
		return err
	}
	d.version = version
	view.Alive[record.Owner()] = record
	d.reconcile(ctx, sharedRows, set.Clock+time.Since(read)) // before the view, with which a starting node becomes ready
	d.view.Store(view)
	d.notify()
	return nil
}
