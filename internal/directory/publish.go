package directory

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// OwnStatus returns the status of the replicas that this node owns, encoded
// for a heartbeat.
func (s *Service) OwnStatus() []byte {
	members := s.members()
	return s.status(func(r *Replica) bool {
		owner, ok := members.Owner(string(r.ID), r.DataCentre)
		return ok && owner == members.Self()
	})
}

// CentreStatus returns the status of all replicas of the own data centre,
// encoded for a digest.
func (s *Service) CentreStatus() []byte {
	return s.status(func(r *Replica) bool { return r.DataCentre == s.dataCentre })
}

func (s *Service) status(include func(*Replica) bool) []byte {
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

// OnStatus takes over a status that another node published. The view shows it
// at the next refresh, at most PollInterval later: a refresh for each of some
// 30 messages a second would cost a node of a large region 4.5% of a core.
func (s *Service) OnStatus(from core.NodeID, data []byte) {
	list, err := decodeStatus(data)
	if err != nil {
		s.log.Warn("malformed replica status", "node", from, "error", err)
		return
	}
	now := time.Now()
	s.mu.Lock()
	for _, status := range list {
		if e, ok := s.replicas[status.Replica]; ok {
			e.published, e.heardAt = status, now
		}
	}
	s.mu.Unlock()
}
