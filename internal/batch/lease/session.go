package lease

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/batch"
)

// ErrLost means that the own lease is over or too old.
var ErrLost = errors.New("lease lost")

// Session is one period in which the node holds ranges.
type Session struct {
	// ID is unique among all sessions of all nodes.
	ID string

	cfg    batch.Config
	ctx    context.Context
	cancel context.CancelFunc
	kept   chan struct{} // closed when the renewals have ended

	mu      sync.Mutex
	version uint64
	counter uint64
	renewed time.Time
	ended   bool
	expiry  *time.Timer
}

// Context ends when the session is lost or closed.
func (s *Session) Context() context.Context { return s.ctx }

// State returns what the node may do now.
func (s *Session) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return Lost
	}
	return StateAt(s.renewed, time.Now(), s.cfg)
}

// Guard returns ErrLost once nothing may be committed any more.
func (s *Session) Guard() error {
	if s.State() == Lost {
		return ErrLost
	}
	return nil
}

func (s *Session) end() {
	s.mu.Lock()
	s.ended = true
	if s.expiry != nil {
		s.expiry.Stop()
	}
	s.mu.Unlock()
	s.cancel()
}

func (s *Session) renewedAt(version, counter uint64, began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.counter, s.renewed = version, counter, began
	if s.ended {
		return
	}
	// The timer ends the session on time even while a renewal is stalled.
	if s.expiry != nil {
		s.expiry.Stop()
	}
	s.expiry = time.AfterFunc(time.Until(began.Add(s.cfg.LeaseLength)), s.end)
}
