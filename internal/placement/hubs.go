package placement

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
)

// Nodes that read the table of nodes at different times know different hubs, for as
// long as the store is away. So each hub makes itself known to the other hubs of its
// groups, and each tells the nodes that report to it which one is the first.

// announce makes this node known to the other hubs of a group.
func (s *Service) announce(g group) {
	self := s.Nodes.Self()
	for _, id := range s.usableHubs(g) {
		if id == self.ID {
			continue
		}
		if err := s.Transport.Send(id, kindHub, &self); err != nil {
			s.Log.Debug("cannot announce this hub", "node", id, "error", err)
		}
	}
}

// handleHub learns of a hub.
func (s *Service) handleHub(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var record nodes.Record
	if err := msgpack.Unmarshal(body, &record); err != nil {
		return nil, err
	}
	s.learnHub(record, from)
	return nil, nil
}

func (s *Service) learnHub(record nodes.Record, from core.NodeID) {
	if record.Address != "" && s.Nodes.Add(record) {
		s.Log.Info("another node knows a hub that the table did not show", "hub", record.ID, "node", from)
	}
}

// firstHub returns the first usable hub of a group, or nil if that is this node.
func (s *Service) firstHub(g group) *nodes.Record {
	hubs := s.usableHubs(g)
	if len(hubs) == 0 || hubs[0] == s.Transport.Self() {
		return nil
	}
	for _, record := range s.candidates.Load().records {
		if record.ID == hubs[0] {
			return &record
		}
	}
	return nil
}
