package membership

import (
	"context"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
)

// beat sends one heartbeat to each node of the own data centre and to seeds
// whose nodes are not known yet, and waits for the answers.
func (s *Service) beat(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	msg := s.ownHeartbeat()
	var wait sync.WaitGroup
	for _, target := range s.heartbeatTargets() {
		wait.Go(func() { s.beatOne(ctx, target, msg) })
	}
	wait.Wait()
}

func (s *Service) beatOne(ctx context.Context, target core.NodeID, msg *heartbeat) {
	var answer heartbeatAnswer
	if err := s.network.Call(ctx, target, kindHeartbeat, msg, &answer); err != nil {
		return
	}
	s.mu.Lock()
	if answer.From.DataCentre == s.tracker.Self().DataCentre {
		s.tracker.Answered(answer.From, answer.ReachesYou, answer.SettingsVersion, time.Now())
	} else {
		s.tracker.Heard(answer.From)
	}
	s.connect(answer.From)
	s.mu.Unlock()
	s.reportVersion(answer.From.ID, answer.SettingsVersion)
}

func (s *Service) ownHeartbeat() *heartbeat {
	s.mu.Lock()
	msg := &heartbeat{From: s.tracker.Self()}
	s.mu.Unlock()
	msg.SettingsVersion = s.settingsVersion()
	if s.hooks.OwnStatus != nil {
		msg.Status = s.hooks.OwnStatus()
	}
	return msg
}

// heartbeatTargets returns the other nodes of the own data centre, and the
// seeds while no other node is known.
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
		if s.addressKnown(address) {
			continue
		}
		id := core.NodeID(seedPrefix + address)
		s.network.SetAddress(id, address)
		targets = append(targets, id)
	}
	return targets
}

func (s *Service) addressKnown(address string) bool {
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

func (s *Service) handleHeartbeat(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var msg heartbeat
	if err := msgpack.Unmarshal(body, &msg); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.tracker.Heard(msg.From)
	s.connect(msg.From)
	answer := heartbeatAnswer{From: s.tracker.Self(), ReachesYou: s.tracker.Reaches(msg.From.ID, time.Now())}
	s.mu.Unlock()
	answer.SettingsVersion = s.settingsVersion()
	s.reportVersion(msg.From.ID, msg.SettingsVersion)
	if s.hooks.OnStatus != nil && len(msg.Status) > 0 {
		s.hooks.OnStatus(msg.From.ID, msg.Status)
	}
	return msgpack.Marshal(answer)
}
