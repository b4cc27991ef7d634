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

// seedPrefix is the prefix of the placeholder node IDs of seed addresses.
const seedPrefix = peer.SeedPrefix

// callTimeout bounds one round of heartbeats or digests. It is shorter than
// HeartbeatInterval.
const callTimeout = 800 * time.Millisecond

// Service exchanges heartbeats and digests with other nodes and keeps the current
// View.
type Service struct {
	network Network
	hooks   Hooks
	seeds   []string
	log     *slog.Logger

	mu        sync.Mutex
	tracker   *Tracker
	connected map[core.NodeID]struct{} // the nodes whose address the transport has
	view      atomic.Pointer[View]
}

// NewService returns a service and registers its message handlers. seeds are
// addresses of peer listeners to contact while their node IDs are not known.
func NewService(self Identity, network Network, seeds []string, hooks Hooks, log *slog.Logger) *Service {
	s := &Service{
		network: network, hooks: hooks, seeds: seeds, log: log,
		tracker:   NewTracker(self),
		connected: make(map[core.NodeID]struct{}),
	}
	s.view.Store(s.tracker.View(time.Now(), 0))
	network.Handle(kindHeartbeat, s.handleHeartbeat)
	network.Handle(kindDigest, s.handleDigest)
	return s
}

// Current returns the current view.
func (s *Service) Current() *View { return s.view.Load() }

// SetFleet replaces the nodes of the fleet list. leaving holds those that the list
// marks as leaving.
func (s *Service) SetFleet(nodes []Member, leaving map[core.NodeID]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.BeginFleetList()
	for _, m := range nodes {
		s.tracker.AddFleetNode(m, leaving[m.ID])
	}
}

// Leave marks this node as leaving and announces it to the other nodes of the
// data centre by a heartbeat. It returns when all have responded or failed to, or
// when ctx ends.
func (s *Service) Leave(ctx context.Context) {
	s.mu.Lock()
	s.tracker.SetLeaving()
	s.mu.Unlock()
	s.refreshView(time.Now())
	s.sendHeartbeats(ctx)
}

// Run sends heartbeats and fetches digests until ctx ends. If a round starts late
// because the process was paused, it moves the recorded times forward.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	last := time.Now()
	for round := 0; ; round++ {
		s.sendHeartbeats(ctx)
		if time.Duration(round)*HeartbeatInterval%DigestInterval == 0 {
			s.fetchDigests(ctx)
		}
		s.refreshView(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if pause := now.Sub(last) - 2*HeartbeatInterval; pause > 0 {
			s.log.Warn("process was paused; moving the recorded heartbeat times forward", "for", pause)
			s.mu.Lock()
			s.tracker.ShiftTimes(pause)
			s.mu.Unlock()
		}
		last = now
	}
}

// connect gives the address of a node to the transport. The caller holds s.mu.
func (s *Service) connect(id Identity) {
	if id.ID != s.tracker.self.ID && id.Address != "" {
		s.connectMember(id.ID, id.Address)
	}
}

func (s *Service) connectMember(id core.NodeID, address string) {
	s.connected[id] = struct{}{}
	s.network.SetAddress(id, address)
}

func (s *Service) settingsVersion() uint64 {
	if s.hooks.SettingsVersion == nil {
		return 0
	}
	return s.hooks.SettingsVersion()
}

// reportSettingsVersion calls the hook if another node has newer settings.
func (s *Service) reportSettingsVersion(from core.NodeID, version uint64) {
	if s.hooks.OnSettingsVersion != nil && version > s.settingsVersion() {
		s.hooks.OnSettingsVersion(from, version)
	}
}
