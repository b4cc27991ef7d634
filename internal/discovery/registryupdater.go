package discovery

import (
	"log/slog"
	"maps"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/watch"
)

// lapseGrace is the time after an outage of the store in which a replica may renew
// a registration that lapsed during the outage. After that, the replica is
// removed.
const lapseGrace = 2 * time.Second

// Decoder decodes a registration. It returns an error if the row does not describe a
// usable replica.
type Decoder func(row *infra.VersionedRow) (replica.Info, error)

// RegistryUpdater applies the registrations in a table to a replica registry. It
// implements watch.Handler.
type RegistryUpdater struct {
	registry *replica.Registry
	decode   Decoder
	log      *slog.Logger
	watcher  *watch.Watcher

	mu       sync.Mutex
	versions map[string]uint64
	// ignored holds the keys of the rows that describe no usable replica. Each is
	// logged once, however often its writer writes it.
	ignored map[string]bool
	// lapsed holds the replicas whose registrations lapsed during an outage, with
	// the timers that remove them.
	lapsed map[core.ReplicaID]*time.Timer
}

// NewRegistryUpdater returns an updater of the registry.
func NewRegistryUpdater(registry *replica.Registry, decode Decoder, log *slog.Logger) *RegistryUpdater {
	return &RegistryUpdater{
		registry: registry, decode: decode, log: log,
		versions: make(map[string]uint64), ignored: make(map[string]bool), lapsed: make(map[core.ReplicaID]*time.Timer),
	}
}

// Watcher returns a watcher that passes the rows of a table to the updater. It is
// called before the watcher runs.
func (u *RegistryUpdater) Watcher(store infra.PartitionedTable, table string) *watch.Watcher {
	u.watcher = watch.New(store, table, []string{""}, u, u.log)
	u.watcher.Useful = func(row *infra.VersionedRow) bool { return !u.ignored[row.Key] }
	return u.watcher
}

// Snapshot implements watch.Handler.
func (u *RegistryUpdater) Snapshot(rows []infra.VersionedRow) {
	present := make(map[core.ReplicaID]bool, len(rows))
	for i := range rows {
		present[core.ReplicaID(rows[i].Key)] = true
	}
	maps.DeleteFunc(u.ignored, func(key string, _ bool) bool { return !present[core.ReplicaID(key)] })
	u.registry.Coalesce(func() {
		for _, r := range u.registry.All() {
			if id := r.Info().ID; !present[id] {
				u.unregister(id, "absent")
			}
		}
		u.Changed(rows)
	})
}

// Changed implements watch.Handler.
func (u *RegistryUpdater) Changed(rows []infra.VersionedRow) {
	u.registry.Coalesce(func() {
		for i := range rows {
			row := &rows[i]
			if u.versions[row.Key] >= row.Version {
				continue
			}
			u.versions[row.Key] = row.Version
			u.apply(row)
		}
	})
}

func (u *RegistryUpdater) apply(row *infra.VersionedRow) {
	id := core.ReplicaID(row.Key)
	if row.Deleted {
		delete(u.ignored, row.Key)
		u.unregister(id, "deleted")
		return
	}
	info, err := u.decode(row)
	if err != nil {
		if !u.ignored[row.Key] {
			u.ignored[row.Key] = true
			u.log.Warn("registration ignored: it does not describe a usable replica", "replica", id, "version", row.Version, "reason", err)
		}
		u.remove(id, "registration ignored")
		return
	}
	delete(u.ignored, row.Key)
	u.mu.Lock()
	if timer, waiting := u.lapsed[id]; waiting {
		timer.Stop()
		delete(u.lapsed, id)
	}
	u.mu.Unlock()
	u.registry.Put(info)
	u.log.Info("replica registered", "replica", id, "service", info.Service, "address", info.Address,
		"leaving", info.Leaving, "started", info.Started, "software", string(info.Version), "version", row.Version)
}

// unregister handles a registration that no longer exists. During and shortly
// after an outage the replica is kept for lapseGrace, as the registration may
// have lapsed only because it could not be renewed.
func (u *RegistryUpdater) unregister(id core.ReplicaID, reason string) {
	wait := time.Duration(0)
	if restored, ok := u.watcher.RestoredAt(); ok {
		wait = lapseGrace - time.Since(restored)
	}
	if u.watcher.Failing() {
		wait = lapseGrace
	}
	if wait <= 0 {
		u.remove(id, reason)
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, waiting := u.lapsed[id]; waiting {
		return
	}
	u.log.Info("registration lapsed during an outage; keeping the replica for now", "replica", id, "for_ms", wait.Milliseconds())
	u.lapsed[id] = time.AfterFunc(wait, func() { u.expireLapsed(id) })
}

// expireLapsed removes a replica that did not register again after an outage.
func (u *RegistryUpdater) expireLapsed(id core.ReplicaID) {
	u.mu.Lock()
	_, waiting := u.lapsed[id]
	delete(u.lapsed, id)
	u.mu.Unlock()
	if waiting {
		u.remove(id, "registration not renewed after an outage")
	}
}

func (u *RegistryUpdater) remove(id core.ReplicaID, reason string) {
	if u.registry.Remove(id) {
		u.log.Info("replica removed", "replica", id, "reason", reason)
	}
}
