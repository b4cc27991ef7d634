package nodes

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/infra"
)

// sharedStateKey is the key of the row with the shared state. No node has this name.
const sharedStateKey = "~shared"

// SharedState is small state of another component that all nodes merge and that
// outlives their restarts. It is one row of the table of nodes, which each node reads
// with every renewal, so that following it costs no calls.
type SharedState interface {
	// Reconcile merges the stored state, which is nil if there is none. If this node
	// knows more, changed is set and update is the state to store, or nil to delete
	// it. clock is the time of the store's clock.
	Reconcile(stored []byte, clock time.Duration) (update []byte, changed bool)
}

// Share sets the shared state. It must be called before Run.
func (d *Directory) Share(s SharedState) { d.shared = s }

// RenewSoon makes Run renew the lease without waiting for its interval, and store
// shared state that has changed.
func (d *Directory) RenewSoon() {
	select {
	case d.renewNow <- struct{}{}:
	default: // a signal is already pending
	}
}

// takeSharedState removes the row of the shared state from the rows of the nodes.
func takeSharedState(set *infra.RowSet) *infra.VersionedRow {
	for i, row := range set.Rows {
		if row.Key == sharedStateKey {
			set.Rows = append(set.Rows[:i:i], set.Rows[i+1:]...)
			return &row
		}
	}
	return nil
}

// reconcile merges the stored shared state and stores it if this node knows more. If
// another node has stored it in the meantime, that is done with the next renewal.
func (d *Directory) reconcile(ctx context.Context, row *infra.VersionedRow, clock time.Duration) {
	if d.shared == nil {
		return
	}
	if row == nil {
		row = &infra.VersionedRow{RowKey: d.key(sharedStateKey)}
	}
	update, changed := d.shared.Reconcile(row.Value, clock)
	if !changed {
		return
	}
	_, err := d.store.CommitRows(ctx, infra.RowTxn{
		Conditions: []infra.RowCondition{{RowKey: row.RowKey, Version: row.Version}},
		Writes:     []infra.RowWrite{{RowKey: row.RowKey, Value: update, Delete: update == nil}},
	})
	switch {
	case errors.Is(err, infra.ErrConflict):
		d.RenewSoon()
	case err != nil:
		d.log.Warn("shared state not stored; trying again with the next renewal", "error", err)
	}
}
