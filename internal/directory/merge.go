package directory

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/settings"
)

// replica merges the fleet list, the settings and either this node's own polls
// or the owner's published status.
func (s *Service) replica(id core.ReplicaID, e *entry, members *membership.View, current *settings.Snapshot, now time.Time) Replica {
	r := Replica{
		ID:         id,
		Deployment: core.DeploymentID(e.vm.Deployment),
		DataCentre: core.DataCentre(e.vm.DataCentre),
		Region:     core.Region(e.vm.Region),
		Address:    e.vm.Address,
	}
	if s.owns(members, id, e) {
		s.fillFromPolls(&r, e)
	} else {
		s.fillFromStatus(&r, e, now)
	}
	if service := current.Deployment(r.Deployment); service != nil {
		if service.Slots > 0 {
			r.Slots = service.Slots
		} else if service.Kind == settings.KindPlain && r.Slots == 0 {
			r.Slots = plainSlots
		}
	}
	switch {
	case current.Backend(id).Drain:
		r.State, r.Reason = StateLeaving, "drained by an operator"
	case e.vm.Leaving:
		r.State, r.Reason = StateLeaving, "leaving according to the fleet list"
	}
	return r
}

func (s *Service) fillFromPolls(r *Replica, e *entry) {
	r.Slots = e.polled.Slots
	counts := s.load(r.ID)
	r.InUse, r.Batch, r.Queued = counts.InUse, counts.Batch, counts.Queued
	switch {
	case e.failures >= failuresUntilDown:
		r.State, r.Reason = StateDown, "does not answer its owner's polls"
	case e.polled.Leaving:
		r.State, r.Reason = StateLeaving, "leaving according to its own report"
	case e.polledAt.IsZero():
		s.fillFromStatus(r, e, time.Time{})
	}
}

func (s *Service) fillFromStatus(r *Replica, e *entry, now time.Time) {
	if e.heardAt.IsZero() || (!now.IsZero() && now.Sub(e.heardAt) > statusValid) {
		if r.Slots == 0 {
			r.Slots = e.published.Slots
		}
		return
	}
	r.State, r.Reason = e.published.State, e.published.Reason
	r.Slots, r.InUse, r.Batch, r.Queued = e.published.Slots, e.published.InUse, e.published.Batch, e.published.Queued
}
