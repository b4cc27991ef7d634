package placement

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

// ReportStall tells the hubs of a replica's group that it has stalled: it stopped
// sending in the middle of its responses to this node. Other nodes need not know,
// as the hubs place their requests. A hub that still receives data from the replica
// ignores the message.
func (s *Service) ReportStall(r *replica.Replica) {
	s.checkReach(r.Info().DataCentre)
	for _, hub := range s.hubsOf(r) {
		if hub == s.Transport.Self() {
			continue
		}
		if err := s.Transport.Send(hub, kindSuspect, &suspicion{Replica: r.Info().ID}); err != nil {
			s.Log.Debug("cannot report the stalled replica to a hub", "node", hub, "error", err)
		}
	}
}

// hubsOf returns the hubs of the group of a replica.
func (s *Service) hubsOf(r *replica.Replica) []core.NodeID {
	info := r.Info()
	return s.candidates.Load().hubs(groupOf(info.Service, info.ID, s.numGroups(info.Service)))
}

func (s *Service) handleSuspicion(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var m suspicion
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	if r := s.Registry.Get(m.Replica); r != nil && r.Suspect(time.Now()) {
		s.Log.Info("another node reports a stalled replica", "replica", m.Replica, "node", from)
		s.checkReach(r.Info().DataCentre)
	}
	return nil, nil
}
