package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
)

// fetchDigests asks one node of each other data centre of the region for the
// members of its data centre, all data centres in parallel.
func (s *Service) fetchDigests(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, candidates := range s.digestCandidates() {
		wait.Go(func() { s.fetchDigest(ctx, candidates) })
	}
	wait.Wait()
}

// digestCandidates returns the known nodes of each other data centre of the
// region, live ones first and otherwise in random order. It gives their addresses
// to the transport.
func (s *Service) digestCandidates() map[core.DataCentre][]core.NodeID {
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

// maxDigestAttempts is the maximum number of nodes of a data centre that are
// asked in one round until one of them responds.
const maxDigestAttempts = 3

// fetchDigest asks the candidates, which are nodes of one data centre, one after
// the other and applies the first response.
func (s *Service) fetchDigest(ctx context.Context, candidates []core.NodeID) {
	if len(candidates) > maxDigestAttempts {
		offset := rand.IntN(len(candidates)) // spreads the requests over the data centre
		candidates = append(candidates[offset:len(candidates):len(candidates)], candidates[:offset]...)[:maxDigestAttempts]
	}
	s.mu.Lock()
	request := digestRequest{From: s.tracker.Self()}
	s.mu.Unlock()
	for _, id := range candidates {
		var response digestResponse
		if err := s.network.Call(ctx, id, kindDigest, request, &response); err != nil {
			continue
		}
		s.applyDigest(id, &response)
		return
	}
}

// applyDigest records the members of a digest and passes the settings versions
// and the replica status in it to the hooks.
func (s *Service) applyDigest(from core.NodeID, response *digestResponse) {
	members := make([]Member, 0, len(response.Members))
	for _, m := range response.Members {
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
	s.tracker.RecordDigest(members, time.Now())
	for _, m := range members {
		s.connectMember(m.ID, m.Address)
	}
	s.mu.Unlock()
	for _, m := range members {
		s.reportSettingsVersion(m.ID, m.SettingsVersion)
	}
	if s.hooks.OnStatus != nil && len(response.Status) > 0 {
		s.hooks.OnStatus(from, response.Status)
	}
}

// handleDigest responds with the live and leaving members of this node's data
// centre.
func (s *Service) handleDigest(_ context.Context, _ core.NodeID, body []byte) ([]byte, error) {
	var request digestRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.tracker.RecordIdentity(request.From)
	s.connect(request.From)
	self := s.tracker.Self()
	s.mu.Unlock()
	var response digestResponse
	for _, m := range s.Current().Members() {
		if m.DataCentre != self.DataCentre || (m.State != StateLive && m.State != StateLeaving) {
			continue
		}
		response.Members = append(response.Members, digestMember{
			Identity: Identity{ID: m.ID, DataCentre: m.DataCentre, Region: m.Region, Address: m.Address,
				Incarnation: m.Incarnation, Leaving: m.State == StateLeaving},
			SettingsVersion: m.SettingsVersion,
		})
	}
	if s.hooks.DataCentreStatus != nil {
		response.Status = s.hooks.DataCentreStatus()
	}
	return msgpack.Marshal(response)
}
