package placement

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
)

// sendYield asks a node to let one item of batch work at a replica give way.
func (s *Service) sendYield(holder core.NodeID, id core.ReplicaID) {
	if err := s.Transport.Send(holder, kindYield, &yield{Replica: id}); err != nil {
		s.Log.Info("question to give way not sent", "node", holder, "error", err)
	}
}

func (s *Service) yield(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var y yield
	if err := msgpack.Unmarshal(body, &y); err != nil {
		return nil, err
	}
	if r := s.Registry.Get(y.Replica); r != nil && s.Yield(r) {
		s.Log.Info("batch work gave way to another node", "replica", y.Replica, "node", from)
	}
	return nil, nil
}

// Suspect tells the other nodes of a replica that went silent here. Each goes by
// what it hears of the replica itself, if it does.
func (s *Service) Suspect(r *replica.Replica) {
	e := s.electable.Load()
	for i := range e.records {
		node := e.records[i].ID
		if node == s.Transport.Self() {
			continue
		}
		if err := s.Transport.Send(node, kindSilent, &silent{Replica: r.Info().ID}); err != nil {
			s.Log.Debug("silence not told", "node", node, "error", err)
		}
	}
}

func (s *Service) silent(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var m silent
	if err := msgpack.Unmarshal(body, &m); err != nil {
		return nil, err
	}
	if r := s.Registry.Get(m.Replica); r != nil {
		r.Suspect(time.Now())
		s.Log.Info("replica is silent at another node", "replica", m.Replica, "node", from)
	}
	return nil, nil
}
