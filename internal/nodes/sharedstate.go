package nodes

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/infra"
)

// sharedKeyPrefix begins the keys of the rows with shared state. No node's name does.
const sharedKeyPrefix = "~"

// SharedState is small state of another component that all nodes merge and that
// outlives their restarts. It is one row of the table of nodes, which each node reads
// with every renewal, so that following it costs no calls.
type SharedState interface {
	// Reconcile merges the stored state, which is nil if there is none. If this node
	// knows more, changed is set and update is the state to store, or nil to delete
	// it. clock is the time of the store's clock.
	Reconcile(stored []byte, clock time.Duration) (update []byte, changed bool)
}

// Share adds a shared state with a name. It must be called before Run.
func (d *Directory) Share(name string, s SharedState) {
	d.shared = append(d.shared, sharedRow{key: sharedKeyPrefix + name, state: s})
}

// sharedRow is a shared state with the key of its row.
type sharedRow struct {
	key   string
	state SharedState
}

// RenewSoon makes Run renew the lease without waiting for its interval, and store
// shared state that has changed.
func (d *Directory) RenewSoon() {
	select {
	case d.renewNow <- struct{}{}:
	default: // a signal is already pending
	}
}

// takeSharedRows removes the rows of shared state from the rows of the nodes. Those that
// this version does not know are left to the nodes that do.
func takeSharedRows(set *infra.RowSet) map[string]infra.VersionedRow {
	shared := make(map[string]infra.VersionedRow)
	set.Rows = slices.DeleteFunc(set.Rows, func(row infra.VersionedRow) bool {
		isShared := strings.HasPrefix(row.Key, sharedKeyPrefix)
		if isShared {
			shared[row.Key] = row
		}
		return isShared
	})
	return shared
}

// reconcile merges the stored shared states and stores those of which this node knows
// more. If another node has stored one in the meantime, that is done with the next
// renewal.
func (d *Directory) reconcile(ctx context.Context, rows map[string]infra.VersionedRow, clock time.Duration) {
	for _, shared := range d.shared {
		row, ok := rows[shared.key]
		if !ok {
			row.RowKey = infra.RowKey{Table: Table, Key: shared.key}
		}
		update, changed := shared.state.Reconcile(row.Value, clock)
		if changed {
			d.storeShared(ctx, &row, update)
		}
	}
}

func (d *Directory) storeShared(ctx context.Context, row *infra.VersionedRow, update []byte) {
	_, err := d.store.CommitRows(ctx, infra.RowTxn{
		Conditions: []infra.RowCondition{{RowKey: row.RowKey, Version: row.Version}},
		Writes:     []infra.RowWrite{{RowKey: row.RowKey, Value: update, Delete: update == nil}},
	})
	switch {
	case errors.Is(err, infra.ErrConflict):
		d.RenewSoon()
	case err != nil:
		d.log.Warn("shared state not stored; trying again with the next renewal", "key", row.Key, "error", err)
	}
}
