package placement

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
)

// sendPreemption asks a node to preempt one of its batch items at a replica.
func (s *Service) sendPreemption(holder core.NodeID, id core.ReplicaID) {
	if err := s.Transport.Send(holder, kindPreempt, &preemption{Replica: id}); err != nil {
		s.Log.Info("cannot send the request to preempt a batch item", "node", holder, "error", err)
	}
}

func (s *Service) handlePreemption(_ context.Context, from core.NodeID, body []byte) ([]byte, error) {
	var p preemption
	if err := msgpack.Unmarshal(body, &p); err != nil {
		return nil, err
	}
	if r := s.Registry.Get(p.Replica); r != nil && s.Preempt(r) {
		s.Log.Info("preempted a batch item for another node", "replica", p.Replica, "node", from)
	}
	return nil, nil
}

// preparePreemption picks the batch item that is preempted for an assignment.
// The function returned sends the message and is called without the lock.
func (h *hub) preparePreemption(state *groupState, assigned *assignment) func() {
	if assigned == nil || !assigned.preempts {
		return func() {}
	}
	holder, ok := state.claimBatchItem(assigned.replica)
	if !ok {
		return func() {}
	}
	return func() { h.sendPreemption(holder, assigned.replica) }
}
