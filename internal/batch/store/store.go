package store

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/infra"
)

// Precondition is checked before each attempt of a write. An error stops the
// retries.
type Precondition func() error

// Store retries calls with exponential backoff.
type Store struct {
	Table   infra.Table
	Objects infra.Objects
	cfg     batch.Config
}

// New returns a Store for a table service and an object store.
func New(table infra.Table, objects infra.Objects, cfg batch.Config) *Store {
	return &Store{Table: table, Objects: objects, cfg: cfg}
}

// Commit applies a transaction and returns the new version of the row of its
// first write, which must set a value that no other transaction writes. It
// retries until the outcome is known.
//
// Errors: infra.ErrConflict (the transaction was not applied, or the row of its
// first write has been changed again since), infra.ErrUnavailable (ctx ended and
// nothing was written), infra.ErrOutcomeUnknown (ctx ended and the outcome is
// unknown), or the error of pre.
func (s *Store) Commit(ctx context.Context, txn infra.Txn, pre Precondition) (uint64, error) {
	unknown := false
	for n := 0; ; n++ {
		if err := checkPrecondition(pre); err != nil {
			return 0, err
		}
		version, err := s.commitOnce(ctx, txn)
		if errors.Is(err, infra.ErrConflict) && unknown {
			version, err = s.readBack(ctx, txn.Writes[0])
		}
		if err == nil || errors.Is(err, infra.ErrConflict) {
			return version, err
		}
		unknown = unknown || errors.Is(err, infra.ErrOutcomeUnknown)
		if !s.backOff(ctx, n) {
			if unknown {
				return 0, infra.ErrOutcomeUnknown
			}
			return 0, infra.ErrUnavailable
		}
	}
}

// CommitOnce applies a transaction without retries.
func (s *Store) CommitOnce(ctx context.Context, txn infra.Txn) (uint64, error) {
	return s.commitOnce(ctx, txn)
}

func (s *Store) commitOnce(ctx context.Context, txn infra.Txn) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	versions, err := s.Table.Commit(ctx, txn)
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

// readBack determines the outcome of a write whose response was lost and whose
// retry failed its conditions. Row versions are never reused, so an earlier
// attempt that has not taken effect by now cannot take effect later.
func (s *Store) readBack(ctx context.Context, w infra.Write) (uint64, error) {
	row, err := s.getOnce(ctx, w.Key)
	if errors.Is(err, infra.ErrNotFound) {
		return 0, infra.ErrConflict
	}
	if err != nil {
		return 0, err
	}
	if !bytes.Equal(row.Value, w.Value) {
		return 0, infra.ErrConflict
	}
	return row.Version, nil
}

func (s *Store) getOnce(ctx context.Context, key string) (infra.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return s.Table.Get(ctx, key)
}

// Get reads a row and retries until the row is found or known to be absent, or
// ctx ends.
// Errors: infra.ErrNotFound, infra.ErrUnavailable.
func (s *Store) Get(ctx context.Context, key string) (infra.Row, error) {
	for n := 0; ; n++ {
		row, err := s.getOnce(ctx, key)
		if err == nil || errors.Is(err, infra.ErrNotFound) {
			return row, err
		}
		if !s.backOff(ctx, n) {
			return infra.Row{}, infra.ErrUnavailable
		}
	}
}

// Put writes an object and retries until it is written or ctx ends.
// Errors: infra.ErrUnavailable, or the error of pre.
func (s *Store) Put(ctx context.Context, key string, data []byte, pre Precondition) error {
	for n := 0; ; n++ {
		if err := checkPrecondition(pre); err != nil {
			return err
		}
		if err := s.putOnce(ctx, key, data); err == nil {
			return nil
		}
		if !s.backOff(ctx, n) {
			return infra.ErrUnavailable
		}
	}
}

func (s *Store) putOnce(ctx context.Context, key string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return s.Objects.Put(ctx, key, data)
}

// GetObject reads an object and retries until the object is found or known to be
// absent, or ctx ends.
// Errors: infra.ErrNotFound, infra.ErrUnavailable.
func (s *Store) GetObject(ctx context.Context, key string) ([]byte, error) {
	for n := 0; ; n++ {
		data, err := s.getObjectOnce(ctx, key)
		if err == nil || errors.Is(err, infra.ErrNotFound) {
			return data, err
		}
		if !s.backOff(ctx, n) {
			return nil, infra.ErrUnavailable
		}
	}
}

func (s *Store) getObjectOnce(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return s.Objects.Get(ctx, key)
}

// ForEach calls f in key order for every row whose key has the prefix and is
// greater than after. It stops at the first error of f and does not retry failed
// reads.
func (s *Store) ForEach(ctx context.Context, prefix, after string, f func(infra.Row) error) error {
	const page = 500
	for {
		rows, err := s.scanOnce(ctx, prefix, after, page)
		if err != nil {
			return err
		}
		for _, row := range rows {
			if err := f(row); err != nil {
				return err
			}
			after = row.Key
		}
		if len(rows) < page {
			return nil
		}
	}
}

func (s *Store) scanOnce(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return s.Table.Scan(ctx, prefix, after, limit)
}

// backOff waits before retry n. It returns false if ctx has ended.
func (s *Store) backOff(ctx context.Context, n int) bool {
	timer := time.NewTimer(batch.Backoff(s.cfg.StoreBackoff, s.cfg.StoreBackoffMax, n))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func checkPrecondition(pre Precondition) error {
	if pre == nil {
		return nil
	}
	return pre()
}
