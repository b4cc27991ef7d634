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
	// PollInterval is the interval at which an owner polls its replicas.
	PollInterval = 500 * time.Millisecond
	pollTimeout  = 1 * time.Second
	// failuresUntilDown is the number of consecutive failed polls after which a
	// replica is down. A single lost poll takes no replica out of service.
	failuresUntilDown = 2
	// statusTTL is how long a published status is used. After that the replica
	// counts as up with unknown load, and requests sent to it show whether it is.
	statusTTL = 6 * time.Second
	// defaultPlainSlots is the number of concurrent calls of a replica of a plain
	// service if neither the settings nor its load report give a number.
	defaultPlainSlots = 64
)

// CountsFunc returns the load counts of a replica that this node owns.
type CountsFunc func(core.ReplicaID) Counts

// Service maintains the directory of one node.
type Service struct {
	dataCentre core.DataCentre
	region     core.Region
	prober     Prober
	settings   func() *settings.Snapshot
	members    func() *membership.View
	ownCounts  CountsFunc
	log        *slog.Logger

	mu       sync.Mutex
	replicas map[core.ReplicaID]*entry
	view     atomic.Pointer[View]
	// listed is set once the view has the replicas of a fleet list.
	listed atomic.Bool
}

// entry is the information about one replica from all sources.
type entry struct {
	vm         infra.VM
	polling    bool         // whether a poll is in progress
	failures   int          // consecutive failed polls
	lastLoad   backend.Load // from the last successful poll
	polledAt   time.Time    // when lastLoad was received; zero if never
	published  Status       // last status published by another node
	receivedAt time.Time    // when published was received; zero if never
}

// NewService returns a service with an empty view.
func NewService(dc core.DataCentre, region core.Region, prober Prober, currentSettings func() *settings.Snapshot,
	members func() *membership.View, ownCounts CountsFunc, log *slog.Logger) *Service {
	s := &Service{
		dataCentre: dc, region: region, prober: prober, settings: currentSettings,
		members: members, ownCounts: ownCounts, log: log,
		replicas: make(map[core.ReplicaID]*entry),
	}
	s.view.Store(NewView(nil))
	return s
}

// Current returns the view of the last refresh.
func (s *Service) Current() *View { return s.view.Load() }

// SetFleet replaces the set of backend servers by those of this node's region in a
// fleet list and refreshes the view.
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
	s.listed.Store(true)
}

// Ready reports whether the node knows enough about the backend servers to serve
// requests: a fleet list, and for each deployment in the settings that has replicas,
// the slots of at least one of them, or that at least one is not up. Requests that
// arrive earlier would be refused because no replica appears usable.
func (s *Service) Ready() bool {
	if !s.listed.Load() {
		return false
	}
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

// Run polls the replicas that this node owns and refreshes the view until ctx is
// done.
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

// Refresh builds a new view from the present information.
func (s *Service) Refresh(now time.Time) {
	members, current := s.members(), s.settings()
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Replica, 0, len(s.replicas))
	for id, e := range s.replicas {
		list = append(list, s.mergeReplica(id, e, members, current, now))
	}
	s.view.Store(NewView(list))
}

// LoadReport returns the last load report of a replica that this node polls and the
// time at which it was received. The time is zero if there is none.
func (s *Service) LoadReport(id core.ReplicaID) (backend.Load, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.replicas[id]; ok {
		return e.lastLoad, e.polledAt
	}
	return backend.Load{}, time.Time{}
}
