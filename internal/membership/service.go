package membership

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/peer"
)

// seedPrefix marks links to seed addresses, whose node ids are not known yet.
const seedPrefix = peer.SeedPrefix

// callTimeout bounds one heartbeat or digest.
const callTimeout = 800 * time.Millisecond

// Service runs the heartbeats and keeps the current View.
type Service struct {
	network Network
	hooks   Hooks
	seeds   []string
	log     *slog.Logger

	mu      sync.Mutex
	tracker *Tracker
	known   map[core.NodeID]struct{}
	view    atomic.Pointer[View]
}

// NewService returns a service and registers its message handlers.
func NewService(self Identity, network Network, seeds []string, hooks Hooks, log *slog.Logger) *Service {
	s := &Service{
		network: network, hooks: hooks, seeds: seeds, log: log,
		tracker: NewTracker(self),
		known:   make(map[core.NodeID]struct{}),
	}
	s.view.Store(s.tracker.View(time.Now(), 0))
	network.Handle(kindHeartbeat, s.handleHeartbeat)
	network.Handle(kindDigest, s.handleDigest)
	return s
}

// Current returns the view in force.
func (s *Service) Current() *View { return s.view.Load() }

// SetFleet takes over the nodes of a fleet list.
func (s *Service) SetFleet(nodes []Member, leaving map[core.NodeID]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.BeginList()
	for _, m := range nodes {
		s.tracker.AddCandidate(m, leaving[m.ID])
	}
}

// Leave tells the other nodes that this one is stopping. It returns once they
// were told or ctx ended.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.tracker.SetLeaving()
	s.mu.Unlock()
	s.refresh(time.Now())
	s.beat(ctx)
}

// Run sends heartbeats and reads digests until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	last := time.Now()
	for round := 0; ; round++ {
		s.beat(ctx)
		if time.Duration(round)*HeartbeatInterval%DigestInterval == 0 {
			s.readDigests(ctx)
		}
		s.refresh(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if pause := now.Sub(last) - 2*HeartbeatInterval; pause > 0 {
			s.log.Warn("process was paused", "for", pause)
			s.mu.Lock()
			s.tracker.Shift(pause)
			s.mu.Unlock()
		}
		last = now
	}
}

func (s *Service) connect(id Identity) {
	if id.ID != s.tracker.self.ID && id.Address != "" {
		s.connectMember(id.ID, id.Address)
	}
}

func (s *Service) connectMember(id core.NodeID, address string) {
	s.known[id] = struct{}{}
	s.network.SetAddress(id, address)
}

func (s *Service) settingsVersion() uint64 {
	if s.hooks.SettingsVersion == nil {
		return 0
	}
	return s.hooks.SettingsVersion()
}

func (s *Service) reportVersion(from core.NodeID, version uint64) {
	if s.hooks.OnSettingsVersion != nil && version > s.settingsVersion() {
		s.hooks.OnSettingsVersion(from, version)
	}
}
