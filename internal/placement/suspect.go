package placement

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

// BroadcastSuspicion tells the other nodes that a replica has stalled: it stopped
// sending in the middle of its responses to this node. A node that still receives
// data from the replica ignores the message.
func (s *Service) BroadcastSuspicion(r *replica.Replica) {
	c := s.candidates.Load()
	for i := range c.records {
		node := c.records[i].ID
		if node == s.Transport.Self() {
			continue
		}
		if err := s.Transport.Send(node, kindSuspect, &suspicion{Replica: r.Info().ID}); err != nil {
			s.Log.Debug("cannot report the stalled replica to a node", "node", node, "error", err)
		}
	}
}

func (s *Service) handleSuspicion(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var m suspicion
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	if r := s.Registry.Get(m.Replica); r != nil {
		r.Suspect(time.Now())
		s.Log.Info("another node reports a stalled replica", "replica", m.Replica, "node", from)
	}
	return nil, nil
}
