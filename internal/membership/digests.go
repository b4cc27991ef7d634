package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
)

// readDigests asks one node of each other data centre for its members.
func (s *Service) readDigests(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, candidates := range s.otherCentres() {
		wait.Go(func() { s.readDigest(ctx, candidates) })
	}
	wait.Wait()
}

// otherCentres returns the known nodes of each other data centre of the
// region, live ones first and otherwise in random order.
func (s *Service) otherCentres() map[core.DataCentre][]core.NodeID {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[core.DataCentre][]core.NodeID)
	for _, liveFirst := range []bool{true, false} {
		for id, n := range s.tracker.nodes {
			m := n.member
			if m.DataCentre == s.tracker.self.DataCentre || m.Region != s.tracker.self.Region || m.Address == "" {
				continue
			}
			if (m.State == StateLive) == liveFirst {
				s.connectMember(id, m.Address)
				out[m.DataCentre] = append(out[m.DataCentre], id)
			}
		}
	}
	return out
}

// digestTries is the number of nodes of a data centre that are asked in one
// round until one answers.
const digestTries = 3

func (s *Service) readDigest(ctx context.Context, candidates []core.NodeID) {
	if len(candidates) > digestTries {
		offset := rand.IntN(len(candidates)) // spreads the questions over the data centre
		candidates = append(candidates[offset:len(candidates):len(candidates)], candidates[:offset]...)[:digestTries]
	}
	s.mu.Lock()
	request := digestRequest{From: s.tracker.Self()}
	s.mu.Unlock()
	for _, id := range candidates {
		var answer digestAnswer
		if err := s.network.Call(ctx, id, kindDigest, request, &answer); err != nil {
			continue
		}
		s.applyDigest(id, &answer)
		return
	}
}

func (s *Service) applyDigest(from core.NodeID, answer *digestAnswer) {
	members := make([]Member, 0, len(answer.Members))
	for _, m := range answer.Members {
		state := StateLive
		if m.Identity.Leaving {
			state = StateLeaving
		}
		members = append(members, Member{
			ID: m.Identity.ID, DataCentre: m.Identity.DataCentre, Region: m.Identity.Region,
			Address: m.Identity.Address, State: state, Incarnation: m.Identity.Incarnation,
			SettingsVersion: m.SettingsVersion,
		})
	}
	s.mu.Lock()
	s.tracker.Digest(members, time.Now())
	for _, m := range members {
		s.connectMember(m.ID, m.Address)
	}
	s.mu.Unlock()
	for _, m := range members {
		s.reportVersion(m.ID, m.SettingsVersion)
	}
	if s.hooks.OnStatus != nil && len(answer.Status) > 0 {
		s.hooks.OnStatus(from, answer.Status)
	}
}

func (s *Service) handleDigest(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var request digestRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.tracker.Heard(request.From)
	s.connect(request.From)
	self := s.tracker.Self()
	s.mu.Unlock()
	var answer digestAnswer
	for _, m := range s.Current().Members() {
		if m.DataCentre != self.DataCentre || (m.State != StateLive && m.State != StateLeaving) {
			continue
		}
		answer.Members = append(answer.Members, digestMember{
			Identity: Identity{ID: m.ID, DataCentre: m.DataCentre, Region: m.Region, Address: m.Address,
				Incarnation: m.Incarnation, Leaving: m.State == StateLeaving},
			SettingsVersion: m.SettingsVersion,
		})
	}
	if s.hooks.CentreStatus != nil {
		answer.Status = s.hooks.CentreStatus()
	}
	return msgpack.Marshal(answer)
}
