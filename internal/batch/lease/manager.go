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

// Manager opens the sessions of this node and renews their leases.
type Manager struct {
	store       *store.Store
	cfg         batch.Config
	node        core.NodeID
	incarnation int64
	log         *slog.Logger

	mu sync.Mutex
	// sessionLock serializes Acquire and Close. It is a channel, so that waiting
	// for it can end with the caller's context.
	sessionLock  chan struct{}
	sessionCount int
	closed       bool // set by Abandon; no new session is opened
	current      *Session
}

// NewManager returns a Manager without a session. The incarnation distinguishes
// this process from earlier ones with the same node id.
func NewManager(st *store.Store, cfg batch.Config, node core.NodeID, incarnation int64, log *slog.Logger) *Manager {
	return &Manager{store: st, cfg: cfg, node: node, incarnation: incarnation, log: log, sessionLock: make(chan struct{}, 1)}
}

// lock acquires sessionLock. It returns false if ctx ends first.
func (m *Manager) lock(ctx context.Context) bool {
	select {
	case m.sessionLock <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (m *Manager) unlock() { <-m.sessionLock }

// OwnsSession reports whether a session belongs to this process.
func (m *Manager) OwnsSession(session string) bool {
	prefix := records.SessionIDPrefix(m.node, m.incarnation)
	return len(session) > len(prefix) && session[:len(prefix)] == prefix
}

// Current returns the open session, or nil.
func (m *Manager) Current() *Session {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current != nil && m.current.State() == Lost {
		return nil
	}
	return m.current
}

// Acquire returns the open session, or opens one.
// Errors: as for store.Commit.
func (m *Manager) Acquire(ctx context.Context) (*Session, error) {
	if !m.lock(ctx) {
		return nil, infra.ErrUnavailable
	}
	defer m.unlock()
	if s := m.Current(); s != nil {
		return s, nil
	}
	m.mu.Lock()
	m.sessionCount++
	id := records.SessionID(m.node, m.incarnation, m.sessionCount)
	m.mu.Unlock()
	return m.openSession(ctx, id)
}

func (m *Manager) openSession(ctx context.Context, id string) (*Session, error) {
	s := &Session{ID: id, cfg: m.cfg, renewalsDone: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if err := m.writeRow(ctx, s, 0, 1); err != nil {
		s.end()
		return nil, err
	}
	m.mu.Lock()
	closed := m.closed
	if !closed {
		m.current = s
	}
	m.mu.Unlock()
	if closed {
		s.end()
		return nil, infra.ErrUnavailable
	}
	go m.renewLoop(s)
	return s, nil
}

// renewLoop renews the lease of a session until it is lost or closed.
func (m *Manager) renewLoop(s *Session) {
	defer close(s.renewalsDone)
	defer s.end()
	next := m.cfg.RenewEvery
	for {
		timer := time.NewTimer(next)
		select {
		case <-timer.C:
		case <-s.ctx.Done():
			timer.Stop()
			return
		}
		err := m.renew(s)
		if s.State() == Lost || errors.Is(err, infra.ErrConflict) {
			m.log.Warn("batch lease lost", "session", s.ID)
			return
		}
		next = m.cfg.RenewEvery
		if err != nil {
			next = m.cfg.StoreBackoff
		}
	}
}

// renew writes the lease row with the next counter. It gives up when the lease
// expires.
func (m *Manager) renew(s *Session) error {
	s.mu.Lock()
	version, counter := s.version, s.counter+1
	deadline := s.renewed.Add(m.cfg.LeaseDuration)
	s.mu.Unlock()
	ctx, cancel := context.WithDeadline(s.ctx, deadline)
	defer cancel()
	return m.writeRow(ctx, s, version, counter)
}

// writeRow writes the lease row and retries until the outcome is known or ctx
// ends. The lease is valid from the start of the attempt that took effect; if
// that attempt is not known, from the start of the first attempt with an unknown
// outcome.
func (m *Manager) writeRow(ctx context.Context, s *Session, version, counter uint64) error {
	key := records.LeaseKey(s.ID)
	value := records.Encode(records.Lease{Node: m.node, Session: s.ID, Counter: counter})
	txn := infra.Txn{
		Conditions: []infra.Condition{{Key: key, Version: version}},
		Writes:     []infra.Write{{Key: key, Value: value}},
	}
	var firstUnknown time.Time
	for n := 0; ; n++ {
		began := time.Now()
		v, err := m.store.CommitOnce(ctx, txn)
		if errors.Is(err, infra.ErrConflict) && !firstUnknown.IsZero() {
			v, err = m.readBack(ctx, key, value)
			began = firstUnknown
		}
		if err == nil {
			s.recordRenewal(v, counter, began)
			return nil
		}
		if errors.Is(err, infra.ErrConflict) || ctx.Err() != nil {
			return err
		}
		if errors.Is(err, infra.ErrOutcomeUnknown) && firstUnknown.IsZero() {
			firstUnknown = began
		}
		sleep(ctx, batch.Backoff(m.cfg.StoreBackoff, m.cfg.StoreBackoffMax, n))
	}
}

func (m *Manager) readBack(ctx context.Context, key string, value []byte) (uint64, error) {
	row, err := m.store.Get(ctx, key)
	if errors.Is(err, infra.ErrNotFound) || (err == nil && !bytes.Equal(row.Value, value)) {
		return 0, infra.ErrConflict
	}
	return row.Version, err
}

// Close ends the open session and deletes its row, so that other nodes can claim
// ranges that could not be released without waiting for the lease to expire. The
// caller must ensure that no item is running. If the row cannot be deleted, the
// lease expires.
func (m *Manager) Close(ctx context.Context) error {
	if !m.lock(ctx) {
		return infra.ErrUnavailable
	}
	defer m.unlock()
	s := m.Current()
	if s == nil {
		return nil
	}
	s.end()
	<-s.renewalsDone
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	key := records.LeaseKey(s.ID)
	_, err := m.store.CommitOnce(ctx, infra.Txn{
		Conditions: []infra.Condition{{Key: key, Version: version}},
		Writes:     []infra.Write{{Key: key, Delete: true}},
	})
	return err
}

// Abandon ends the open session but leaves its row to expire. No other session
// can be opened afterwards: a concurrent Acquire fails.
func (m *Manager) Abandon() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	if s := m.Current(); s != nil {
		s.end()
		<-s.renewalsDone
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
