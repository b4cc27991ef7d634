package jobs

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/infra"
)

// store reads and writes job rows, result rows and objects.
type store struct {
	table   infra.PartitionedTable
	objects infra.Objects
}

// job reads a job's row. The error is infra.ErrNotFound if there is none.
func (s *store) job(ctx context.Context, id string) (Entry, error) {
	set, err := s.table.Range(ctx, rowOnly(jobKey(id)))
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
	if err := msgpack.Unmarshal(row.Value, &entry.Record); err != nil {
		return Entry{}, fmt.Errorf("job row %q: %w", row.Key, err)
	}
	return entry, nil
}

// results reads a job's results from a position on.
func (s *store) results(ctx context.Context, job string, from int) ([]Result, time.Duration, error) {
	set, err := s.table.Range(ctx, resultRange(job, from))
	if err != nil {
		return nil, 0, err
	}
	out, err := decodeResults(job, from, set.Rows)
	return out, set.Clock, err
}

// decodeResults reads result rows up to the first gap: what lies behind it is
// not listed.
func decodeResults(job string, from int, rows []infra.VersionedRow) ([]Result, error) {
	out := make([]Result, 0, len(rows))
	for i := range rows {
		if rows[i].RowKey != resultKey(job, from+len(out)) {
			break
		}
		var result Result
		if err := msgpack.Unmarshal(rows[i].Value, &result); err != nil {
			return nil, fmt.Errorf("result row %q: %w", rows[i].Key, err)
		}
		out = append(out, result)
	}
	return out, nil
}

// items reads the items of a job.
func (s *store) items(ctx context.Context, object string) ([]Item, error) {
	data, err := s.objects.Get(ctx, object)
	if err != nil {
		return nil, err
	}
	var items []Item
	if err := msgpack.Unmarshal(data, &items); err != nil {
		return nil, fmt.Errorf("object %q: %w", object, err)
	}
	return items, nil
}

// put writes a job's row on condition of its version and returns the new one.
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

// retryPause is the pause between tries of a write whose outcome is unknown or
// that the store refused.
const retryPause = 150 * time.Millisecond

// retryable reports whether the same write may be tried again.
func retryable(err error) bool {
	return errors.Is(err, infra.ErrUnavailable) || errors.Is(err, infra.ErrUnknown)
}

// pause waits, or returns false if ctx ended.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
