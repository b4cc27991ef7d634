package directory

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/membership"
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
	vm        infra.VM
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
func (s *Service) SetFleet(vms []infra.VM) {
	s.mu.Lock()
	listed := make(map[core.ReplicaID]struct{})
	for _, vm := range vms {
		if vm.Kind != infra.KindBackend || core.Region(vm.Region) != s.region {
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
		if current.Deployment(r.Deployment) == nil {
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

// LoadReport returns the last load report of a replica that this node polls, and
// when it arrived; the time is zero if there is none.
func (s *Service) LoadReport(id core.ReplicaID) (backend.Load, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.replicas[id]; ok {
		return e.polled, e.polledAt
	}
	return backend.Load{}, time.Time{}
}
