package directory

import (
	"cmp"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/settings"
)

// mergeReplica combines what the fleet list and the settings say about a replica
// with this node's own polls, if it owns the replica, or else with the status
// published by the owner.
func (s *Service) mergeReplica(id core.ReplicaID, e *entry, members *membership.View, current *settings.Snapshot, now time.Time) Replica {
	r := Replica{
		ID:         id,
		Deployment: core.DeploymentID(e.vm.Deployment),
		DataCentre: core.DataCentre(e.vm.DataCentre),
		Region:     core.Region(e.vm.Region),
		Address:    e.vm.Address,
	}
	if s.owns(members, id, e) {
		s.setFromPolls(&r, e)
	} else {
		s.setFromStatus(&r, e, now)
	}
	if deployment := current.Deployment(r.Deployment); deployment != nil {
		if deployment.Slots > 0 {
			r.Slots = deployment.Slots
		} else if deployment.Kind == settings.KindPlain && r.Slots == 0 {
			r.Slots = defaultPlainSlots
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

// setFromPolls sets the state and load of a replica that this node owns. Before the
// first poll succeeds it uses the last published status, however old.
func (s *Service) setFromPolls(r *Replica, e *entry) {
	r.Slots = e.lastLoad.Slots
	counts := s.ownCounts(r.ID)
	r.InUse, r.Batch, r.Queued = counts.InUse, counts.Batch, counts.Queued
	switch {
	case e.failures >= failuresUntilDown:
		r.State, r.Reason = StateDown, "does not answer its owner's polls"
	case e.lastLoad.Leaving:
		r.State, r.Reason = StateLeaving, "leaving according to its own report"
	case e.polledAt.IsZero():
		s.setFromStatus(r, e, time.Time{})
	}
}

// setFromStatus sets the state and load of a replica from its published status. If
// there is none or it is older than statusTTL, it sets only the slots, by the status or by
// what this node saw while it owned the replica; the replica then counts as up. A zero now
// accepts a status of any age.
func (s *Service) setFromStatus(r *Replica, e *entry, now time.Time) {
	if e.receivedAt.IsZero() || (!now.IsZero() && now.Sub(e.receivedAt) > statusTTL) {
		if r.Slots == 0 {
			r.Slots = cmp.Or(e.published.Slots, e.lastLoad.Slots)
		}
		return
	}
	r.State, r.Reason = e.published.State, e.published.Reason
	r.Slots, r.InUse, r.Batch, r.Queued = e.published.Slots, e.published.InUse, e.published.Batch, e.published.Queued
}
