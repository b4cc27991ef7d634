package retention

import (
	"bytes"
	"context"
	"slices"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/infra"
)

// client makes the rate-limited calls of one sweeper to the platform. Only one
// goroutine may use it.
type client struct {
	options *Options
	table   pacer
	objects pacer
	counts  *counts
}

func newClient(options *Options, c *counts) *client {
	return &client{options: options, counts: c, table: pacer{rate: options.Config.TableRate}, objects: pacer{rate: options.Config.ObjectRate}}
}

func (c *client) scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	if err := c.table.wait(ctx, 1); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Config.CallTimeout)
	defer cancel()
	return c.options.Table.Scan(ctx, prefix, after, limit)
}

// get reads a row. If there is none, it returns a row with version 0.
func (c *client) get(ctx context.Context, key string) (infra.Row, error) {
	if err := c.table.wait(ctx, 1); err != nil {
		return infra.Row{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Config.CallTimeout)
	defer cancel()
	row, err := c.options.Table.Get(ctx, key)
	if errors.Is(err, infra.ErrNotFound) {
		return infra.Row{Key: key}, nil
	}
	return row, err
}

func (c *client) commitOnce(ctx context.Context, txn infra.Txn) (uint64, error) {
	if err := c.table.wait(ctx, len(txn.Writes)); err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Config.CallTimeout)
	defer cancel()
	versions, err := c.options.Table.Commit(ctx, txn)
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

// commit applies a transaction whose first write is conditional on the version
// of its row, and returns the new version of that row. If a response was lost
// and the retry fails with a conflict, it reads the row back to learn whether
// the first attempt took effect. The same write by another owner counts as
// success, since it does the same work.
func (c *client) commit(ctx context.Context, txn infra.Txn) (uint64, error) {
	var err error
	unknown := false
	for range c.options.Config.MaxAttempts {
		var version uint64
		version, err = c.commitOnce(ctx, txn)
		if errors.Is(err, infra.ErrConflict) && unknown {
			version, err = c.readBack(ctx, txn.Writes[0])
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

// readBack returns the version of the row of w, or infra.ErrConflict if the row
// is not in the state that w leaves it in.
func (c *client) readBack(ctx context.Context, w infra.Write) (uint64, error) {
	row, err := c.get(ctx, w.Key)
	if err != nil {
		return 0, err
	}
	if (row.Version == 0) != w.Delete || !bytes.Equal(row.Value, w.Value) {
		return 0, infra.ErrConflict
	}
	return row.Version, nil
}

// deleteRows deletes rows on condition of the versions that were read, and
// returns how many it deleted. A row that has changed since is kept. All rows
// are kept if one of the additional conditions does not hold.
func (c *client) deleteRows(ctx context.Context, rows []infra.Row, conditions ...infra.Condition) (int, error) {
	deleted := 0
	for len(rows) > 0 {
		n := min(len(rows), c.options.Config.DeleteBatchRows)
		_, err := c.commit(ctx, newDeleteTxn(rows[:n], conditions...))
		switch {
		case err == nil:
			deleted += n
		case errors.Is(err, infra.ErrConflict) && n > 1:
			one, err := c.deleteOneByOne(ctx, rows[:n], conditions)
			deleted += one
			if err != nil {
				return deleted, err
			}
		case errors.Is(err, infra.ErrConflict):
			c.counts.conflicts.Add(1)
		default:
			return deleted, err
		}
		rows = rows[n:]
	}
	return deleted, nil
}

func (c *client) deleteOneByOne(ctx context.Context, rows []infra.Row, conditions []infra.Condition) (int, error) {
	deleted := 0
	for i := range rows {
		n, err := c.deleteRows(ctx, rows[i:i+1], conditions...)
		if deleted += n; err != nil {
			return deleted, err
		}
	}
	return deleted, nil
}

func newDeleteTxn(rows []infra.Row, conditions ...infra.Condition) infra.Txn {
	txn := infra.Txn{Conditions: slices.Clone(conditions)}
	for _, row := range rows {
		txn.Conditions = append(txn.Conditions, infra.Condition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, infra.Write{Key: row.Key, Delete: true})
	}
	return txn
}

// deleteObject deletes an object, with retries. After an error the object may be
// deleted or not.
func (c *client) deleteObject(ctx context.Context, key string) error {
	var err error
	for range c.options.Config.MaxAttempts {
		if err = c.objects.wait(ctx, 1); err != nil {
			return err
		}
		if err = c.deleteObjectOnce(ctx, key); err == nil {
			c.counts.objects.Add(1)
			return nil
		}
	}
	return err
}

func (c *client) deleteObjectOnce(ctx context.Context, key string) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.Config.CallTimeout)
	defer cancel()
	return c.options.Objects.Delete(ctx, key)
}

// exists reports whether an object exists. It reads the object, since the object
// store has no cheaper way to tell.
func (c *client) exists(ctx context.Context, key string) (bool, error) {
	if err := c.objects.wait(ctx, 1); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.options.Config.CallTimeout)
	defer cancel()
	_, err := c.options.Objects.Get(ctx, key)
	if errors.Is(err, infra.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}
