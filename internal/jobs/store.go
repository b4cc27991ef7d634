package jobs

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/wire"
)

// store reads and writes job rows, result rows and objects.
type store struct {
	table   infra.PartitionedTable
	objects infra.Objects
}

// job reads a job row. The error is infra.ErrNotFound if there is none.
func (s *store) job(ctx context.Context, id string) (Entry, error) {
	set, err := s.table.Range(ctx, singleRow(jobKey(id)))
	if err != nil {
		return Entry{}, err
	}
	if len(set.Rows) == 0 {
		return Entry{}, infra.ErrNotFound
	}
	return decodeEntry(&set.Rows[0])
}

func decodeEntry(row *infra.VersionedRow) (Entry, error) {
	entry := Entry{Version: row.Version}
	if err := wire.Unmarshal(row.Value, &entry.Record); err != nil {
		return Entry{}, fmt.Errorf("decode job row %q: %w", row.Key, err)
	}
	if entry.ID != row.Key {
		return Entry{}, fmt.Errorf("job row %q holds another job", row.Key)
	}
	return entry, nil
}

// results reads a job's results from a position on, and the store's clock at
// the time of the read.
func (s *store) results(ctx context.Context, job string, from int) ([]Result, time.Duration, error) {
	set, err := s.table.Range(ctx, resultRange(job, from))
	if err != nil {
		return nil, 0, err
	}
	out, err := decodeResults(job, from, set.Rows)
	return out, set.Clock, err
}

// decodeResults decodes result rows up to the first missing position. Results
// behind a gap do not count as listed.
func decodeResults(job string, from int, rows []infra.VersionedRow) ([]Result, error) {
	out := make([]Result, 0, len(rows))
	for i := range rows {
		if rows[i].RowKey != resultKey(job, from+len(out)) {
			break
		}
		var result Result
		if err := wire.Unmarshal(rows[i].Value, &result); err != nil {
			return nil, fmt.Errorf("decode result row %q: %w", rows[i].Key, err)
		}
		out = append(out, result)
	}
	return out, nil
}

// itemsOf reads all items of a job. An object that holds another number of them is not
// what was stored: the others would be lost.
func (s *store) itemsOf(ctx context.Context, record *Record) ([]Item, error) {
	items, err := s.items(ctx, record.Object)
	if err == nil && len(items) != record.Total {
		err = fmt.Errorf("%w: object %q holds %d items of %d", infra.ErrUnavailable, record.Object, len(items), record.Total)
	}
	return items, err
}

// items reads the items in an object.
func (s *store) items(ctx context.Context, object string) ([]Item, error) {
	data, err := s.objects.Get(ctx, object)
	if err != nil {
		return nil, err
	}
	var items []Item
	if err := wire.Unmarshal(data, &items); err != nil {
		return nil, fmt.Errorf("decode items in object %q: %w", object, err)
	}
	return items, nil
}

// put writes a job row on condition that it has the given version, and returns
// the new version. Version 0 means that the row must not exist.
func (s *store) put(ctx context.Context, record *Record, version uint64) (uint64, error) {
	value, err := msgpack.Marshal(record)
	if err != nil {
		return 0, err
	}
	key := jobKey(record.ID)
	return s.table.CommitRows(ctx, infra.RowTxn{
		Conditions: []infra.RowCondition{{RowKey: key, Version: version}},
		Writes:     []infra.RowWrite{{RowKey: key, Value: value}},
	})
}

// retryDelay is the delay before a call is retried that the store refused or
// whose outcome is unknown.
const retryDelay = 150 * time.Millisecond

// retryable reports whether the same call may be retried.
func retryable(err error) bool {
	return errors.Is(err, infra.ErrUnavailable) || errors.Is(err, infra.ErrOutcomeUnknown)
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
