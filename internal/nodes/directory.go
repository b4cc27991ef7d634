package nodes

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/steady"
)

const (
	// Table holds one row for each node.
	Table = "nodes"
	// renewEvery is the least time between renewals. Each costs one write and
	// one read of the whole table.
	renewEvery = 2 * time.Second
	// renewPerNode lengthens it in large fleets, so that the store is read at
	// most that often for each row and the bytes read grow with the fleet, not
	// with its square.
	renewPerNode = 33 * time.Millisecond
	// leaseRenewals is how many renewals a lease lasts: two may fail.
	leaseRenewals = 3
	// settleTime is how long after an outage leases are renewed: nodes come
	// back within the retry pause and the time of a call.
	settleTime = 2 * time.Second
	// forgetAfter is how long the row of a node that is gone is kept.
	forgetAfter = time.Minute
	// firstRetry is the pause after a failed first registration.
	firstRetry = 300 * time.Millisecond
)

// View is the nodes as of one reading of the table.
type View struct {
	// Alive holds the nodes whose lease runs, by owner name.
	Alive map[string]Record
	// Lapsed holds the nodes whose lease ran out and that did not leave, by owner
	// name, for as long as their rows are kept. They may be cut off from the
	// store only.
	Lapsed map[string]Record
	// Clock is the store's clock at the reading.
	Clock time.Duration
	// At is the local time at which the reading began.
	At time.Time
	// Settled is set if leases that lapsed while the store was away have had
	// time to be renewed.
	Settled bool
}

// Directory registers this node and reads the others.
type Directory struct {
	store infra.PartitionedTable
	self  Record
	log   *slog.Logger
	view  atomic.Pointer[View]
	// restored is when the store answered again after a failed renewal.
	restored steady.Moment
	failing  atomic.Bool
	// mu is held during a renewal and while the node leaves.
	mu   sync.Mutex
	left bool
	// version is that of this node's row as this run last wrote it.
	version uint64
}

// NewDirectory returns a directory of the node with the given record.
func NewDirectory(store infra.PartitionedTable, self Record, log *slog.Logger) *Directory {
	d := &Directory{store: store, self: self, log: log}
	d.view.Store(&View{})
	return d
}

// Self returns this node's record.
func (d *Directory) Self() Record { return d.self }

// View returns the latest reading.
func (d *Directory) View() *View { return d.view.Load() }

// Run renews and reads until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := d.renew(ctx)
		if err == nil && d.failing.Load() {
			d.restored.Set(time.Now())
			d.log.Info("node lease regained", "node", d.self.ID)
		}
		if err != nil && !d.failing.Load() && ctx.Err() == nil {
			d.log.Warn("node lease not renewed", "node", d.self.ID, "error", err)
		}
		d.failing.Store(err != nil)
		pause := interval(len(d.View().Alive))
		if d.failing.Load() {
			pause = firstRetry
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// Failing reports whether the last renewal failed.
func (d *Directory) Failing() bool { return d.failing.Load() }

// settled reports whether others had time to renew since an outage.
func (d *Directory) settled(now time.Time) bool {
	restored, ok := d.restored.Get()
	return !d.failing.Load() && (!ok || now.Sub(restored) >= settleTime)
}

// interval is the time between renewals in a fleet of so many nodes.
func interval(nodes int) time.Duration {
	return max(renewEvery, time.Duration(nodes)*renewPerNode)
}

// Leave ends this node's lease, so that others take over its work at once. A
// row that another run of the process has written since stays.
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

// renew reads the table, which also tells the store's clock, and writes this
// node's row.
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
	record := d.self
	record.Until = set.Clock + leaseRenewals*interval(len(set.Rows))
	value, err := msgpack.Marshal(&record)
	if err != nil {
		return err
	}
	txn := infra.RowTxn{Writes: []infra.RowWrite{{RowKey: d.key(record.ID), Value: value}}}
	view := &View{Alive: make(map[string]Record), Lapsed: make(map[string]Record), Clock: set.Clock, At: at, Settled: d.settled(at)}
	for _, row := range set.Rows {
		var other Record
		if err := msgpack.Unmarshal(row.Value, &other); err != nil {
			d.log.Warn("node row cannot be read", "key", row.Key, "version", row.Version, "error", err)
			continue
		}
		switch {
		case other.ID == d.self.ID:
		case other.Until > set.Clock:
			view.Alive[other.Owner()] = other
		case other.Until+forgetAfter < set.Clock:
			txn.Conditions = append(txn.Conditions, infra.RowCondition{RowKey: row.RowKey, Version: row.Version})
			txn.Writes = append(txn.Writes, infra.RowWrite{RowKey: row.RowKey, Delete: true})
		default:
			view.Lapsed[other.Owner()] = other
		}
	}
	version, err := d.store.CommitRows(ctx, txn)
	if err != nil {
		return err
	}
	d.version = version
	view.Alive[record.Owner()] = record
	d.view.Store(view)
	return nil
}
