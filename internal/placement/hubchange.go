package placement

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
)

// A hub that stops, and one that has started, tell all nodes. These change their hub at
// the same time and report their work to the new one at once. Without that, each finds
// out by itself: two hubs grant the same slots meanwhile, and the new one places no items
// before it may be sure of the work of all nodes.

const (
	// kindHubChange is the call with which a hub says that it stops or has started.
	kindHubChange = "placement.change"
	// hubChangeTimeout bounds the call to one node. A node that does not get it finds the
	// change out by itself.
	hubChangeTimeout = 200 * time.Millisecond
	// announcedSettleTime takes the place of replicaSettleTime at a hub that takes over
	// after all nodes were told: their reports take some tens of ms on a busy small VM.
	announcedSettleTime = 200 * time.Millisecond
)

var errHubStopped = errors.New("hub has announced that it stops")

// hubChange says which groups a hub leaves or takes over.
type hubChange struct {
	Hub      nodes.Record `msgpack:"h"`
	Stopping bool         `msgpack:"s,omitempty"`
	Groups   []group      `msgpack:"g"`
	// Notices are what a hub that stops knows that the replicas of its groups have said.
	// The next one would use a limited replica without its limit until a node reports it.
	Notices []replicaNotice `msgpack:"l,omitempty"`
}

// Stop makes the hub of this node refuse placement requests and tells the other nodes,
// which ask the next hub from then on, also for the requests that are queued here. It
// returns when they know, or ctx has ended.
func (s *Service) Stop(ctx context.Context) {
	s.hub.stopping.Store(true)
	change := &hubChange{Hub: s.Nodes.Self(), Stopping: true, Groups: s.hub.ownGroups()}
	for _, g := range change.Groups {
		change.Notices = append(change.Notices, knownNotices(s.Registry, g, time.Now())...)
	}
	s.announceChange(ctx, change)
}

// announceStart makes a node that has started known to all others if it is a hub.
func (s *Service) announceStart(ctx context.Context) {
	defer contain.Recover(s.Log, "announcement of hub", string(s.Transport.Self()))
	if s.hub.stopping.Load() {
		return
	}
	change := &hubChange{Hub: s.Nodes.Self(), Groups: s.hubGroups()}
	s.markAnnounced(change.Groups)
	s.announceChange(ctx, change)
}

// hubGroups returns the groups of the registered services whose first hub is this node.
func (s *Service) hubGroups() []group {
	var out []group
	seen := make(map[core.DeploymentID]bool)
	for _, r := range s.Registry.All() {
		service := r.Info().Service
		if seen[service] {
			continue
		}
		seen[service] = true
		count := s.numGroups(service)
		for i := range count {
			g := group{Service: service, Count: count, Index: i}
			if hubs := s.usableHubs(g); len(hubs) > 0 && hubs[0] == s.Transport.Self() {
				out = append(out, g)
			}
		}
	}
	return out
}

// announceChange tells all other nodes of a change that concerns any group.
func (s *Service) announceChange(ctx context.Context, change *hubChange) {
	if len(change.Groups) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, hubChangeTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, record := range s.candidates.Load().records {
		if record.ID == s.Transport.Self() {
			continue
		}
		wait.Go(func() {
			defer contain.Recover(s.Log, "announcement to", string(record.ID))
			if err := s.Transport.Call(ctx, record.ID, kindHubChange, change, nil); err != nil {
				s.Log.Info("node was not told of the change of its hub", "node", record.ID, "stopping", change.Stopping, "error", err)
			}
		})
	}
	wait.Wait()
}

// handleHubChange changes the hub of the groups that the message names.
func (s *Service) handleHubChange(ctx context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var change hubChange
	if err := msgpack.Unmarshal(body, &change); err != nil {
		return nil, err
	}
	if change.Hub.ID != from {
		return nil, errors.Errorf("change of hub %s announced by node %s", change.Hub.ID, from)
	}
	s.Log.Info("hub has announced a change", "hub", from, "stopping", change.Stopping, "groups", len(change.Groups))
	learnNotices(s.Registry, change.Notices, from, time.Now(), s.Log)
	s.markAnnounced(change.Groups)
	if change.Stopping {
		s.exclude(from)
	} else {
		s.hubStarted(change.Hub)
	}
	for _, g := range change.Groups {
		if hubs := s.usableHubs(g); len(hubs) > 0 {
			s.reportTo(ctx, hubs[0], g)
		}
	}
	if change.Stopping {
		s.moveRequests(from)
	}
	return nil, nil
}

// exclude stops using a hub until it answers a probe.
func (s *Service) exclude(hub core.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downHubs[hub] = &downHub{probeAt: time.Now().Add(hubProbeInterval)}
}

// moveRequests makes the requests that are queued at a hub ask the next one.
func (s *Service) moveRequests(hub core.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, waiting := range s.grantChans {
		if waiting.hub == hub {
			waiting.notify(grantNotice{moved: true})
		}
	}
}

// hubStarted uses a hub again, or for the first time.
func (s *Service) hubStarted(hub nodes.Record) {
	s.mu.Lock()
	delete(s.downHubs, hub.ID)
	s.mu.Unlock()
	s.learnHub(hub, hub.ID)
	s.updateNodes()
}

// markAnnounced records that all nodes were told of a change of the groups' hub.
func (s *Service) markAnnounced(groups []group) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range groups {
		s.announcedAt[g] = now
	}
}

// recentlyAnnounced reports whether all nodes were just told of a change of a group's
// hub.
func (s *Service) recentlyAnnounced(g group, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.announcedAt[g]
	return ok && now.Sub(at) < replicaSettleTime
}

// ownGroups returns the groups that this hub manages.
func (h *hub) ownGroups() []group {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]group, 0, len(h.groups))
	for g := range h.groups {
		out = append(out, g)
	}
	return out
}
