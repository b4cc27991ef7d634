package streamversion

import (
	"log/slog"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

// table is this node's copy of the versions of all services. It implements
// watch.Handler.
type table struct {
	log *slog.Logger

	mu       sync.RWMutex
	services map[core.DeploymentID]tableEntry
}

// tableEntry is the row of a service. versions is nil if the row cannot be decoded.
type tableEntry struct {
	versions *Versions
	row      uint64
}

func newTable(log *slog.Logger) *table {
	return &table{log: log, services: make(map[core.DeploymentID]tableEntry)}
}

// get returns the versions of a service and the version of its row, or nil if it has
// none. They must not be changed.
func (t *table) get(service core.DeploymentID) (*Versions, uint64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.services[service]
	return e.versions, e.row
}

// all returns the versions of all services.
func (t *table) all() map[core.DeploymentID]Versions {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make(map[core.DeploymentID]Versions, len(t.services))
	for service, e := range t.services {
		if e.versions != nil {
			out[service] = *e.versions
		}
	}
	return out
}

// Snapshot implements watch.Handler. Rows of services are never deleted, so that the
// ones that are missing are those that the store has lost.
func (t *table) Snapshot(rows []infra.VersionedRow) { t.Changed(rows) }

// Changed implements watch.Handler.
func (t *table) Changed(rows []infra.VersionedRow) {
	for i := range rows {
		t.update(&rows[i])
	}
}

// update takes a row, unless the copy has a later one.
func (t *table) update(row *infra.VersionedRow) {
	service := core.DeploymentID(row.Key)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.services[service].row >= row.Version {
		return
	}
	if row.Deleted {
		t.services[service] = tableEntry{row: 0}
		return
	}
	e := tableEntry{row: row.Version}
	var versions Versions
	if err := msgpack.Unmarshal(row.Value, &versions); err != nil {
		t.log.Error("versions of a service cannot be decoded; its streams cannot be taken up", "service", service, "row", row.Version, "error", err)
	} else {
		e.versions = &versions
		t.log.Info("versions of a service", "service", service, "base", versions.Base, "others", versions.Others, "base_since_ms", versions.BaseSince.Milliseconds(), "row", row.Version)
	}
	t.services[service] = e
}
