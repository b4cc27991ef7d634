package membership

import (
	"context"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
)

// sendHeartbeats sends one heartbeat to each heartbeat target in parallel and
// waits for the responses.
func (s *Service) sendHeartbeats(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	msg := s.newHeartbeat()
	var wait sync.WaitGroup
	for _, target := range s.heartbeatTargets() {
		wait.Go(func() { s.sendHeartbeat(ctx, target, msg) })
	}
	wait.Wait()
}

// sendHeartbeat sends a heartbeat and records the response. A node of another data
// centre, which only a seed address leads to, is only recorded as known: its
// state comes from digests.
func (s *Service) sendHeartbeat(ctx context.Context, target core.NodeID, msg *heartbeat) {
	var response heartbeatResponse
	if err := s.network.Call(ctx, target, kindHeartbeat, msg, &response); err != nil {
		return
	}
	s.mu.Lock()
	if response.From.DataCentre == s.tracker.Self().DataCentre {
		s.tracker.RecordResponse(response.From, response.ReachesSender, response.SettingsVersion, time.Now())
	} else {
		s.tracker.RecordIdentity(response.From)
	}
	s.connect(response.From)
	s.mu.Unlock()
	s.reportSettingsVersion(response.From.ID, response.SettingsVersion)
}

// newHeartbeat returns the heartbeat of this node.
func (s *Service) newHeartbeat() *heartbeat {
	s.mu.Lock()
	msg := &heartbeat{From: s.tracker.Self()}
	s.mu.Unlock()
	msg.SettingsVersion = s.settingsVersion()
	if s.hooks.OwnStatus != nil {
		msg.Status = s.hooks.OwnStatus()
	}
	return msg
}

// heartbeatTargets returns the other nodes of this node's data centre and a
// placeholder ID for each seed address that belongs to no known node. It gives
// their addresses to the transport.
func (s *Service) heartbeatTargets() []core.NodeID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var targets []core.NodeID
	for id, n := range s.tracker.nodes {
		if n.member.DataCentre == s.tracker.self.DataCentre && n.member.Address != "" {
			s.connectMember(id, n.member.Address)
			targets = append(targets, id)
		}
	}
	for _, address := range s.seeds {
		if s.isKnownAddress(address) {
			continue
		}
		id := core.NodeID(seedPrefix + address)
		s.network.SetAddress(id, address)
		targets = append(targets, id)
	}
	return targets
}

func (s *Service) isKnownAddress(address string) bool {
	if address == s.tracker.self.Address {
		return true
	}
	for _, n := range s.tracker.nodes {
		if n.member.Address == address {
			return true
		}
	}
	return false
}

// handleHeartbeat records the sender of a heartbeat and tells it whether this
// node's heartbeats reach it.
func (s *Service) handleHeartbeat(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var msg heartbeat
	if err := msgpack.Unmarshal(body, &msg); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.tracker.RecordIdentity(msg.From)
	s.connect(msg.From)
	response := heartbeatResponse{From: s.tracker.Self(), ReachesSender: s.tracker.CanReach(msg.From.ID, time.Now())}
	s.mu.Unlock()
	response.SettingsVersion = s.settingsVersion()
	s.reportSettingsVersion(msg.From.ID, msg.SettingsVersion)
	if s.hooks.OnStatus != nil && len(msg.Status) > 0 {
		s.hooks.OnStatus(msg.From.ID, msg.Status)
	}
	return msgpack.Marshal(response)
}
