package directory

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/platform"
	"gentiantide.example/gentiantide/internal/settings"
)

const (
	// PollInterval is the time between two polls of a replica by its owner.
	PollInterval = 500 * time.Millisecond
	pollTimeout  = 1 * time.Second
	// failuresUntilDown is the number of polls in a row that fail before a
	// replica counts as down; one lost poll takes nothing out of service.
	failuresUntilDown = 2
	// statusValid is how long a published status is believed; after it the
	// replica counts as up with unknown load, and requests find out.
	statusValid = 6 * time.Second
	// plainSlots is the number of concurrent calls of a plain service replica
	// unless the settings say otherwise.
	plainSlots = 64
)

// Prober polls one backend server.
type Prober interface {
	// Probe returns the load report. Errors: backend.ErrUnreachable.
	Probe(ctx context.Context, kind settings.ServiceKind, address string) (backend.Load, error)
}

// Counts is the owner's use of a replica.
type Counts struct {
	// InUse counts all reservations in use, Batch those of them that are batch.
	InUse, Batch int
	// Queued counts the online requests that wait.
	Queued int
}

// LoadSource returns the owner's counts of a replica that this node owns.
type LoadSource func(core.ReplicaID) Counts

// Service keeps the directory of this node.
type Service struct {
	dataCentre core.DataCentre
	region     core.Region
	prober     Prober
	settings   func() *settings.Snapshot
	members    func() *membership.View
	load       LoadSource
	log        *slog.Logger

	mu       sync.Mutex
	replicas map[core.ReplicaID]*entry
	view     atomic.Pointer[View]
}

// entry is what the service knows of one replica.
type entry struct {
	vm        platform.VM
	polling   bool
	failures  int
	polled    backend.Load
	polledAt  time.Time
	published Status
	heardAt   time.Time
}

// NewService returns a service with an empty view.
func NewService(dc core.DataCentre, region core.Region, prober Prober, current func() *settings.Snapshot,
	members func() *membership.View, load LoadSource, log *slog.Logger) *Service {
	s := &Service{
		dataCentre: dc, region: region, prober: prober, settings: current,
		members: members, load: load, log: log,
		replicas: make(map[core.ReplicaID]*entry),
	}
	s.view.Store(NewView(nil))
	return s
}

// Current returns the view in force.
func (s *Service) Current() *View { return s.view.Load() }

// SetFleet takes over the backend servers of the region from a fleet list. A
// backend server that the list no longer names is gone.
func (s *Service) SetFleet(vms []platform.VM) {
	s.mu.Lock()
	listed := make(map[core.ReplicaID]struct{})
	for _, vm := range vms {
		if vm.Kind != platform.KindBackend || core.Region(vm.Region) != s.region {
			continue
		}
		id := core.ReplicaID(vm.ID)
		listed[id] = struct{}{}
		if e, ok := s.replicas[id]; ok {
			e.vm = vm
		} else {
			s.replicas[id] = &entry{vm: vm}
		}
	}
	for id := range s.replicas {
		if _, ok := listed[id]; !ok {
			delete(s.replicas, id)
		}
	}
	s.mu.Unlock()
	s.Refresh(time.Now())
}

// Ready reports whether the state of the backend servers is known: the slots
// of at least one replica of each deployment in the settings that has replicas.
// Requests that arrive earlier would be refused for want of a usable replica.
func (s *Service) Ready() bool {
	known := make(map[core.DeploymentID]bool)
	view, current := s.Current(), s.settings()
	for i := range view.All() {
		r := &view.All()[i]
		if current.Service(r.Deployment) == nil {
			continue
		}
		known[r.Deployment] = known[r.Deployment] || r.Slots > 0 || r.State != StateUp
	}
	for _, ok := range known {
		if !ok {
			return false
		}
	}
	return true
}

// Run polls the replicas that this node owns until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		s.pollOwned(ctx)
		s.Refresh(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Service) pollOwned(ctx context.Context) {
	members, current := s.members(), s.settings()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.replicas {
		service := current.Service(core.DeploymentID(e.vm.Deployment))
		if service == nil || e.polling || !s.owns(members, id, e) {
			continue
		}
		e.polling = true
		go s.poll(ctx, id, service.Kind, e.vm.Address)
	}
}

func (s *Service) owns(members *membership.View, id core.ReplicaID, e *entry) bool {
	owner, ok := members.Owner(string(id), core.DataCentre(e.vm.DataCentre))
	return ok && owner == members.Self()
}

func (s *Service) poll(ctx context.Context, id core.ReplicaID, kind settings.ServiceKind, address string) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := s.prober.Probe(ctx, kind, address)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.replicas[id]
	if !ok {
		return
	}
	e.polling = false
	if err != nil {
		e.failures++
		if e.failures == failuresUntilDown {
			s.log.Warn("backend server down", "replica", id, "address", address, "error", err)
		}
		return
	}
	if e.failures >= failuresUntilDown {
		s.log.Info("backend server up", "replica", id, "address", address)
	}
	e.failures, e.polled, e.polledAt = 0, load, time.Now()
}

// Refresh computes the view anew.
func (s *Service) Refresh(now time.Time) {
	members, current := s.members(), s.settings()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Replica, 0, len(s.replicas))
	for id, e := range s.replicas {
		list = append(list, s.replica(id, e, members, current, now))
	}
	s.view.Store(NewView(list))
}

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
	if service := current.Service(r.Deployment); service != nil {
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

// Report returns the last load report of a replica that this node polls, and
// when it arrived; the time is zero if there is none.
func (s *Service) Report(id core.ReplicaID) (backend.Load, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.replicas[id]; ok {
		return e.polled, e.polledAt
	}
	return backend.Load{}, time.Time{}
}

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

// OnStatus takes over a status that another node published.
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
	s.Refresh(now)
}
