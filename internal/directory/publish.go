package directory

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// OwnStatus returns the encoded status of the replicas that this node owns, to be
// sent with a heartbeat.
func (s *Service) OwnStatus() []byte {
	members := s.members()
	return s.encodeMatching(func(r *Replica) bool {
		owner, ok := members.Owner(string(r.ID), r.DataCentre)
		return ok && owner == members.Self()
	})
}

// DataCentreStatus returns the encoded status of all replicas in this node's data
// centre, to be sent with a membership digest.
func (s *Service) DataCentreStatus() []byte {
	return s.encodeMatching(func(r *Replica) bool { return r.DataCentre == s.dataCentre })
}

// encodeMatching encodes the status of the replicas in the view that include
// accepts.
func (s *Service) encodeMatching(include func(*Replica) bool) []byte {
	view := s.Current()
	var list []Status
	for i := range view.All() {
		r := &view.All()[i]
		if include(r) {
			list = append(list, Status{Replica: r.ID, State: r.State, Reason: r.Reason,
				Slots: r.Slots, InUse: r.InUse, Batch: r.Batch, Queued: r.Queued})
		}
	}
	return encodeStatus(list)
}

// OnStatus stores the status that another node published. It appears in the view
// at the next refresh, at most PollInterval later. A refresh for each message, some
// 30 a second, would cost a node of a large region 4.5% of a core.
func (s *Service) OnStatus(from core.NodeID, data []byte) {
	list, err := decodeStatus(data)
	if err != nil {
		s.log.Warn("ignored a malformed replica status", "node", from, "error", err)
		return
	}
	now := time.Now()
	s.mu.Lock()
	for _, status := range list {
		if e, ok := s.replicas[status.Replica]; ok {
			e.published, e.receivedAt = status, now
		}
	}
	s.mu.Unlock()
}
