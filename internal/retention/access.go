package retention

import (
	"bytes"
	"context"
	"slices"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/infra"
)

// access does the paced calls of one sweep. It is used by one goroutine.
type access struct {
	o       *Options
	table   pacer
	objects pacer
	counts  *counts
}

func newAccess(o *Options, c *counts) *access {
	return &access{o: o, counts: c, table: pacer{rate: o.Config.TableRate}, objects: pacer{rate: o.Config.ObjectRate}}
}

func (a *access) scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	if err := a.table.wait(ctx, 1); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.o.Config.CallTimeout)
	defer cancel()
	return a.o.Table.Scan(ctx, prefix, after, limit)
}

// get reads a row; an absent row has version 0.
func (a *access) get(ctx context.Context, key string) (infra.Row, error) {
	if err := a.table.wait(ctx, 1); err != nil {
		return infra.Row{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.o.Config.CallTimeout)
	defer cancel()
	row, err := a.o.Table.Get(ctx, key)
	if errors.Is(err, infra.ErrNotFound) {
		return infra.Row{Key: key}, nil
	}
	return row, err
}

func (a *access) commitOnce(ctx context.Context, txn infra.Txn) (uint64, error) {
	if err := a.table.wait(ctx, len(txn.Writes)); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.o.Config.CallTimeout)
	defer cancel()
	versions, err := a.o.Table.Commit(ctx, txn)
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

// commit applies a transaction whose first write is conditional on the version
// of its row, and returns the new version of that row. A repetition that fails
// on its conditions after a lost answer is read back. Another owner's same
// write counts as success, since it does the same work.
func (a *access) commit(ctx context.Context, txn infra.Txn) (uint64, error) {
	var err error
	unknown := false
	for range a.o.Config.Tries {
		var version uint64
		version, err = a.commitOnce(ctx, txn)
		if errors.Is(err, infra.ErrConflict) && unknown {
			version, err = a.readBack(ctx, txn.Writes[0])
		}
		switch {
		case err == nil, errors.Is(err, infra.ErrConflict):
			return version, err
		case errors.Is(err, infra.ErrOutcomeUnknown):
			unknown = true
		}
	}
	return 0, err
}

func (a *access) readBack(ctx context.Context, w infra.Write) (uint64, error) {
	row, err := a.get(ctx, w.Key)
	if err != nil {
		return 0, err
	}
	if (row.Version == 0) != w.Delete || !bytes.Equal(row.Value, w.Value) {
		return 0, infra.ErrConflict
	}
	return row.Version, nil
}

// deleteRows deletes rows on condition of the versions that were judged and
// returns how many are gone. A row that changed stays, and so do all if one of
// the other conditions does not hold.
func (a *access) deleteRows(ctx context.Context, rows []infra.Row, also ...infra.Condition) (int, error) {
	gone := 0
	for len(rows) > 0 {
		n := min(len(rows), a.o.Config.BatchRows)
		_, err := a.commit(ctx, deletion(rows[:n], also...))
		switch {
		case err == nil:
			gone += n
		case errors.Is(err, infra.ErrConflict) && n > 1:
			one, err := a.deleteOneByOne(ctx, rows[:n], also)
			gone += one
			if err != nil {
				return gone, err
			}
		case errors.Is(err, infra.ErrConflict):
			a.counts.conflicts.Add(1)
		default:
			return gone, err
		}
		rows = rows[n:]
	}
	return gone, nil
}

func (a *access) deleteOneByOne(ctx context.Context, rows []infra.Row, also []infra.Condition) (int, error) {
	gone := 0
	for i := range rows {
		n, err := a.deleteRows(ctx, rows[i:i+1], also...)
		if gone += n; err != nil {
			return gone, err
		}
	}
	return gone, nil
}

func deletion(rows []infra.Row, also ...infra.Condition) infra.Txn {
	txn := infra.Txn{Conditions: slices.Clone(also)}
	for _, row := range rows {
		txn.Conditions = append(txn.Conditions, infra.Condition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, infra.Write{Key: row.Key, Delete: true})
	}
	return txn
}

// deleteObject deletes an object; the outcome is known when it returns nil.
func (a *access) deleteObject(ctx context.Context, key string) error {
	var err error
	for range a.o.Config.Tries {
		if err = a.objects.wait(ctx, 1); err != nil {
			return err
		}
		if err = a.deleteObjectOnce(ctx, key); err == nil {
			a.counts.objects.Add(1)
			return nil
		}
	}
	return err
}

func (a *access) deleteObjectOnce(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, a.o.Config.CallTimeout)
	defer cancel()
	return a.o.Objects.Delete(ctx, key)
}

// exists reports whether there is an object. The object store has no cheaper
// way to tell than reading it.
func (a *access) exists(ctx context.Context, key string) (bool, error) {
	if err := a.objects.wait(ctx, 1); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.o.Config.CallTimeout)
	defer cancel()
	_, err := a.o.Objects.Get(ctx, key)
	if errors.Is(err, infra.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}
