package lease

import (
	"bytes"
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/batch"
	"gentiantide.example/gentiantide/internal/batch/records"
	"gentiantide.example/gentiantide/internal/batch/store"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
)

// Keeper opens sessions for the own node and renews them.
type Keeper struct {
	store       *store.Store
	cfg         batch.Config
	node        core.NodeID
	incarnation int64
	log         *slog.Logger

	mu sync.Mutex
	// opening admits one Acquire or Close at a time; waiting ends with the
	// caller's context.
	opening chan struct{}
	opened  int
	shut    bool // no session is opened any more
	current *Session
}

// NewKeeper returns a Keeper without a session. The incarnation tells this
// process from earlier ones with the same node id.
func NewKeeper(st *store.Store, cfg batch.Config, node core.NodeID, incarnation int64, log *slog.Logger) *Keeper {
	return &Keeper{store: st, cfg: cfg, node: node, incarnation: incarnation, log: log, opening: make(chan struct{}, 1)}
}

func (k *Keeper) enter(ctx context.Context) bool {
	select {
	case k.opening <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (k *Keeper) leave() { <-k.opening }

// Own reports whether a session belongs to this process.
func (k *Keeper) Own(session string) bool {
	prefix := records.SessionPrefix(k.node, k.incarnation)
	return len(session) > len(prefix) && session[:len(prefix)] == prefix
}

// Current returns the session in force, or nil.
func (k *Keeper) Current() *Session {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.current != nil && k.current.State() == Lost {
		return nil
	}
	return k.current
}

// Acquire returns the session in force, or opens one.
// Errors: as for store.Commit.
func (k *Keeper) Acquire(ctx context.Context) (*Session, error) {
	if !k.enter(ctx) {
		return nil, infra.ErrUnavailable
	}
	defer k.leave()
	if s := k.Current(); s != nil {
		return s, nil
	}
	k.mu.Lock()
	k.opened++
	id := records.SessionID(k.node, k.incarnation, k.opened)
	k.mu.Unlock()
	return k.open(ctx, id)
}

func (k *Keeper) open(ctx context.Context, id string) (*Session, error) {
	s := &Session{ID: id, cfg: k.cfg, kept: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := k.write(ctx, s, 0, 1); err != nil {
		s.end()
		return nil, err
	}
	k.mu.Lock()
	shut := k.shut
	if !shut {
		k.current = s
	}
	k.mu.Unlock()
	if shut {
		s.end()
		return nil, infra.ErrUnavailable
	}
	go k.keep(s)
	return s, nil
}

// keep renews a session until it is lost or closed.
func (k *Keeper) keep(s *Session) {
	defer close(s.kept)
	defer s.end()
	next := k.cfg.RenewEvery
	for {
		timer := time.NewTimer(next)
		select {
		case <-timer.C:
		case <-s.ctx.Done():
			timer.Stop()
			return
		}
		err := k.renew(s)
		if s.State() == Lost || errors.Is(err, infra.ErrConflict) {
			k.log.Warn("batch lease lost", "session", s.ID)
			return
		}
		next = k.cfg.RenewEvery
		if err != nil {
			next = k.cfg.StoreBackoff
		}
	}
}

// renew writes the next counter unless the lease is lost before.
func (k *Keeper) renew(s *Session) error {
	s.mu.Lock()
	version, counter := s.version, s.counter+1
	deadline := s.renewed.Add(k.cfg.LeaseLength)
	s.mu.Unlock()
	ctx, cancel := context.WithDeadline(s.ctx, deadline)
	defer cancel()
	return k.write(ctx, s, version, counter)
}

// write writes the lease row and repeats until the outcome is known or ctx
// ends. The lease counts from the beginning of the attempt that took effect;
// if that is not known, from the first attempt whose answer was lost.
func (k *Keeper) write(ctx context.Context, s *Session, version, counter uint64) error {
	key := records.LeaseKey(s.ID)
	value := records.Encode(records.Lease{Node: k.node, Session: s.ID, Counter: counter})
	txn := infra.Txn{
		Conditions: []infra.Condition{{Key: key, Version: version}},
		Writes:     []infra.Write{{Key: key, Value: value}},
	}
	var firstUnknown time.Time
	for n := 0; ; n++ {
		began := time.Now()
		v, err := k.store.CommitOnce(ctx, txn)
		if errors.Is(err, infra.ErrConflict) && !firstUnknown.IsZero() {
			v, err = k.readBack(ctx, key, value)
			began = firstUnknown
		}
		if err == nil {
			s.renewedAt(v, counter, began)
			return nil
		}
		if errors.Is(err, infra.ErrConflict) || ctx.Err() != nil {
			return err
		}
		if errors.Is(err, infra.ErrOutcomeUnknown) && firstUnknown.IsZero() {
			firstUnknown = began
		}
		sleep(ctx, batch.Backoff(k.cfg.StoreBackoff, k.cfg.StoreBackoffMax, n))
	}
}

func (k *Keeper) readBack(ctx context.Context, key string, value []byte) (uint64, error) {
	row, err := k.store.Get(ctx, key)
	if errors.Is(err, infra.ErrNotFound) || (err == nil && !bytes.Equal(row.Value, value)) {
		return 0, infra.ErrConflict
	}
	return row.Version, err
}

// Close ends the session in force and deletes its row, so that ranges that
// could not be released can be claimed at once. No item may run any more. A
// row that cannot be deleted lapses.
func (k *Keeper) Close(ctx context.Context) error {
	if !k.enter(ctx) {
		return infra.ErrUnavailable
	}
	defer k.leave()
	s := k.Current()
	if s == nil {
		return nil
	}
	s.end()
	<-s.kept
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	key := records.LeaseKey(s.ID)
	_, err := k.store.CommitOnce(ctx, infra.Txn{
		Conditions: []infra.Condition{{Key: key, Version: version}},
		Writes:     []infra.Write{{Key: key, Delete: true}},
	})
	return err
}

// Abandon ends the session in force without telling the table service, and
// opens no other: an Acquire that is under way fails.
func (k *Keeper) Abandon() {
	k.mu.Lock()
	k.shut = true
	k.mu.Unlock()
	if s := k.Current(); s != nil {
		s.end()
		<-s.kept
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
