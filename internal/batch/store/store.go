package store

import (
	"bytes"
	"context"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/infra"
)

// Guard is asked before each attempt of a write; an error ends the attempts.
type Guard func() error

// Store repeats calls with back-off.
type Store struct {
	Table   infra.Table
	Objects infra.Objects
	cfg     batch.Config
}

// New returns a Store.
func New(table infra.Table, objects infra.Objects, cfg batch.Config) *Store {
	return &Store{Table: table, Objects: objects, cfg: cfg}
}

// Commit applies a transaction and returns the new version of its first
// write, which must set a row to a value that no other transaction writes.
// It repeats until the outcome is known.
//
// Errors: infra.ErrConflict (this transaction is not in force: it was not
// applied, or its row was written again since), infra.ErrUnavailable (ctx
// ended, nothing was written), infra.ErrUnknown (ctx ended, the outcome is
// unknown), or the guard's error.
func (s *Store) Commit(ctx context.Context, txn infra.Txn, guard Guard) (uint64, error) {
	unknown := false
	for n := 0; ; n++ {
		if err := check(guard); err != nil {
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
		if !s.pause(ctx, n) {
			if unknown {
				return 0, infra.ErrOutcomeUnknown
			}
			return 0, infra.ErrUnavailable
		}
	}
}

// CommitOnce applies a transaction without repeating it.
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

// readBack decides about a write whose answer was lost and whose repetition
// failed on its conditions. Row versions never repeat, so the first attempt
// cannot take effect any more unless it already has.
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

// Get reads a row and repeats until it is found, absent, or ctx ends.
// Errors: infra.ErrNotFound, infra.ErrUnavailable.
func (s *Store) Get(ctx context.Context, key string) (infra.Row, error) {
	for n := 0; ; n++ {
		row, err := s.getOnce(ctx, key)
		if err == nil || errors.Is(err, infra.ErrNotFound) {
			return row, err
		}
		if !s.pause(ctx, n) {
			return infra.Row{}, infra.ErrUnavailable
		}
	}
}

// Put writes an object and repeats until it is written or ctx ends.
// Errors: infra.ErrUnavailable, or the guard's error.
func (s *Store) Put(ctx context.Context, key string, data []byte, guard Guard) error {
	for n := 0; ; n++ {
		if err := check(guard); err != nil {
			return err
		}
		if err := s.putOnce(ctx, key, data); err == nil {
			return nil
		}
		if !s.pause(ctx, n) {
			return infra.ErrUnavailable
		}
	}
}

func (s *Store) putOnce(ctx context.Context, key string, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return s.Objects.Put(ctx, key, data)
}

// GetObject reads an object and repeats until it is found, absent, or ctx ends.
// Errors: infra.ErrNotFound, infra.ErrUnavailable.
func (s *Store) GetObject(ctx context.Context, key string) ([]byte, error) {
	for n := 0; ; n++ {
		data, err := s.getObjectOnce(ctx, key)
		if err == nil || errors.Is(err, infra.ErrNotFound) {
			return data, err
		}
		if !s.pause(ctx, n) {
			return nil, infra.ErrUnavailable
		}
	}
}

func (s *Store) getObjectOnce(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.CallTimeout)
	defer cancel()
	return s.Objects.Get(ctx, key)
}

// Each calls f for every row with a prefix whose key is greater than after, in
// key order, until f returns an error. It does not repeat failed reads.
func (s *Store) Each(ctx context.Context, prefix, after string, f func(infra.Row) error) error {
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

// pause waits before repeat n; it reports false once ctx has ended.
func (s *Store) pause(ctx context.Context, n int) bool {
	timer := time.NewTimer(batch.Backoff(s.cfg.StoreBackoff, s.cfg.StoreBackoffMax, n))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

func check(guard Guard) error {
	if guard == nil {
		return nil
	}
	return guard()
}
