package discovery

import (
	"log/slog"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/watch"
)

// lapseGrace is how long after an outage of the table a registration that
// lapsed meanwhile may come back. A replica that is still missing then is gone.
const lapseGrace = 2 * time.Second

// Decoder reads a registration. It returns false for one that names no replica
// to use.
type Decoder func(row *infra.VersionedRow) (replica.Info, bool)

// Replicas feeds a registry. It implements watch.Handler.
type Replicas struct {
	registry *replica.Registry
	decode   Decoder
	log      *slog.Logger
	watcher  *watch.Watcher

	mu       sync.Mutex
	versions map[string]uint64
	// missing holds registrations that lapsed in an outage.
	missing map[core.ReplicaID]*time.Timer
}

// NewReplicas returns a feed of the registry.
func NewReplicas(registry *replica.Registry, decode Decoder, log *slog.Logger) *Replicas {
	return &Replicas{
		registry: registry, decode: decode, log: log,
		versions: make(map[string]uint64), missing: make(map[core.ReplicaID]*time.Timer),
	}
}

// Watcher returns the watcher that feeds the registry from a table.
func (d *Replicas) Watcher(store infra.PartitionedTable, table string) *watch.Watcher {
	d.watcher = watch.New(store, table, []string{""}, d, d.log)
	return d.watcher
}

// Snapshot implements watch.Handler.
func (d *Replicas) Snapshot(rows []infra.VersionedRow) {
	present := make(map[core.ReplicaID]bool, len(rows))
	for i := range rows {
		present[core.ReplicaID(rows[i].Key)] = true
	}
	d.registry.Together(func() {
		for _, r := range d.registry.All() {
			if id := r.Info().ID; !present[id] {
				d.gone(id, "absent")
			}
		}
		d.Changed(rows)
	})
}

// Changed implements watch.Handler.
func (d *Replicas) Changed(rows []infra.VersionedRow) {
	d.registry.Together(func() {
		for i := range rows {
			row := &rows[i]
			if d.versions[row.Key] >= row.Version {
				continue
			}
			d.versions[row.Key] = row.Version
			d.apply(row)
		}
	})
}

func (d *Replicas) apply(row *infra.VersionedRow) {
	id := core.ReplicaID(row.Key)
	if row.Deleted {
		d.gone(id, "deleted")
		return
	}
	info, ok := d.decode(row)
	if !ok {
		d.log.Warn("registration names no replica to use", "replica", id, "version", row.Version)
		d.remove(id, "unreadable")
		return
	}
	d.mu.Lock()
	if timer, waiting := d.missing[id]; waiting {
		timer.Stop()
		delete(d.missing, id)
	}
	d.mu.Unlock()
	d.registry.Put(info)
	d.log.Info("replica registered", "replica", id, "service", info.Service, "address", info.Address,
		"leaving", info.Leaving, "started", info.Started, "version", row.Version)
}

// gone handles a registration that is not there any more. After an outage it
// may have lapsed only because it could not be renewed.
func (d *Replicas) gone(id core.ReplicaID, reason string) {
	wait := time.Duration(0)
	if restored, ok := d.watcher.Restored(); ok {
		wait = lapseGrace - time.Since(restored)
	}
	if d.watcher.Failing() {
		wait = lapseGrace
	}
	if wait <= 0 {
		d.remove(id, reason)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, waiting := d.missing[id]; waiting {
		return
	}
	d.log.Info("registration lapsed in an outage, kept for now", "replica", id, "for_ms", wait.Milliseconds())
	d.missing[id] = time.AfterFunc(wait, func() { d.expire(id) })
}

func (d *Replicas) expire(id core.ReplicaID) {
	d.mu.Lock()
	_, waiting := d.missing[id]
	delete(d.missing, id)
	d.mu.Unlock()
	if waiting {
		d.remove(id, "not renewed after an outage")
	}
}

func (d *Replicas) remove(id core.ReplicaID, reason string) {
	if d.registry.Remove(id) {
		d.log.Info("replica removed", "replica", id, "reason", reason)
	}
}
