package lease

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/batch"
)

// ErrLost means that the lease of this node has ended or expired.
var ErrLost = errors.New("lease lost")

// Session is a period in which the node may hold ranges.
type Session struct {
	// ID is unique among all sessions of all nodes.
	ID string

	cfg          batch.Config
	ctx          context.Context
	cancel       context.CancelFunc
	renewalsDone chan struct{} // closed when renewLoop has returned

	mu      sync.Mutex
	version uint64
	counter uint64
	renewed time.Time
	ended   bool
	expiry  *time.Timer
}

// Context returns a context that ends when the session is lost or closed.
func (s *Session) Context() context.Context { return s.ctx }

// State returns the current state of the session.
func (s *Session) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return Lost
	}
	return StateAt(s.renewed, time.Now(), s.cfg)
}

// CheckNotLost returns ErrLost once the session may not commit results any more.
func (s *Session) CheckNotLost() error {
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

func (s *Session) recordRenewal(version, counter uint64, began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.counter, s.renewed = version, counter, began
	if s.ended {
		return
	}
	// The timer ends the session on time even if a renewal is blocked.
	if s.expiry != nil {
		s.expiry.Stop()
	}
	s.expiry = time.AfterFunc(time.Until(began.Add(s.cfg.LeaseDuration)), s.end)
}
