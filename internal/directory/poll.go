package directory

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/membership"
	"gentiantide.example/gentiantide/internal/settings"
)

// pollOwned starts a poll of each replica that this node owns and is not polling
// already.
func (s *Service) pollOwned(ctx context.Context) {
	members, current := s.members(), s.settings()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.replicas {
		deployment := current.Deployment(core.DeploymentID(e.vm.Deployment))
		if deployment == nil || e.polling || !s.owns(members, id, e) {
			continue
		}
		e.polling = true
		go s.poll(ctx, id, deployment.Kind, e.vm.Address)
	}
}

// owns reports whether this node is the owner of a replica.
func (s *Service) owns(members *membership.View, id core.ReplicaID, e *entry) bool {
	owner, ok := members.Owner(string(id), core.DataCentre(e.vm.DataCentre))
	return ok && owner == members.Self()
}

// poll polls one replica and records the result.
func (s *Service) poll(ctx context.Context, id core.ReplicaID, kind settings.DeploymentKind, address string) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := s.probe(ctx, id, kind, address)
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
			s.log.Warn("backend server is down: consecutive polls failed", "replica", id, "address", address, "error", err)
		}
		return
	}
	if e.failures >= failuresUntilDown {
		s.log.Info("backend server is up again", "replica", id, "address", address)
	}
	e.failures, e.lastLoad, e.polledAt = 0, load, time.Now()
}

// probe requests the load report of a backend server. A panic counts as a failed
// poll.
func (s *Service) probe(ctx context.Context, id core.ReplicaID, kind settings.DeploymentKind, address string) (load backend.Load, err error) {
	defer contain.Error(s.log, "poll of backend server", string(id), &err)
	return s.prober.Probe(ctx, kind, address)
}
