package intent

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"log/slog"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

// Bounds of the work on a row while a caller waits. The reads back of a write
// with unknown outcome share the time.
const (
	beginTimeout  = 2 * time.Second
	finishTimeout = time.Second
	maxTries      = 6
	retryPause    = 20 * time.Millisecond
)

// Store keeps the intents. It is safe for concurrent use.
type Store struct {
	cfg        Config
	background background
}

// New returns a Store.
func New(cfg Config) *Store {
	if cfg.Scope == nil {
		cfg.Scope = tally.NoopScope
	}
	cfg.Scope = cfg.Scope.SubScope("intent")
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	return &Store{cfg: cfg, background: newBackground()}
}

// Close stops the work on rows in the background and waits for it.
func (s *Store) Close() { s.background.close() }

// rowKey returns the key of the row of a call.
func rowKey(org core.Org, key string) string {
	sum := sha256.Sum256([]byte(key))
	return RowPrefix + url.PathEscape(string(org)) + "/" + hex.EncodeToString(sum[:])
}

// write writes the attempt's record on condition of the attempt's version.
func (s *Store) write(ctx context.Context, a *Attempt, r record) error {
	data, err := r.encode()
	if err != nil {
		return err
	}
	versions, err := s.cfg.Table.Commit(ctx, infra.Txn{
		Conditions: []infra.Condition{{Key: a.key, Version: a.version}},
		Writes:     []infra.Write{{Key: a.key, Value: data}},
	})
	if err != nil {
		return err
	}
	if len(versions) != 1 {
		return errors.Wrap(infra.ErrOutcomeUnknown, "the table service returned no row version")
	}
	a.version = versions[0]
	return nil
}

// read reads the row of an attempt; an absent row has version 0.
func (s *Store) read(ctx context.Context, a *Attempt) (record, uint64, error) {
	row, err := s.cfg.Table.Get(ctx, a.key)
	if errors.Is(err, infra.ErrNotFound) {
		return record{}, 0, nil
	}
	if err != nil {
		return record{}, 0, err
	}
	r, err := decodeRecord(row.Value)
	return r, row.Version, err
}
