package streamversion

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
)

const (
	// absentTime is how long a version must have had no registered replica, beyond the
	// longest life of a stream, before it is no longer the base version or listed. A node
	// that is cut off from the store for longer than that, together with replicas of the
	// version, could begin unrecorded streams that are taken for those of the next base
	// version.
	absentTime = 5 * time.Minute
	// sweepInterval is the time between sweeps for rows that killed nodes left behind,
	// and idleSweepInterval that while no service has several versions.
	sweepInterval     = time.Minute
	idleSweepInterval = 10 * time.Minute
)

// maintainer keeps the rows of the services, on one node: it creates them, lists new
// versions before streams begin at them, and removes versions that are gone. Other
// nodes do not rely on it for what a stream needs.
type maintainer struct {
	s *Service
	// absent is when a version was first seen to have no registered replica, without a
	// doubt since.
	absent map[absentVersion]time.Time
	swept  time.Time
}

// absentVersion identifies a version of a service.
type absentVersion struct {
	service core.DeploymentID
	version core.SoftwareVersion
}

// assigned reports whether this node maintains the rows: the first by name of the live
// ones.
func assigned(view *nodes.View, self string) bool {
	if _, alive := view.Alive[self]; !alive {
		return false
	}
	for owner := range view.Alive {
		if owner < self {
			return false
		}
	}
	return true
}

// tick makes the changes that are due.
func (m *maintainer) tick(ctx context.Context, now time.Time) {
	s := m.s
	age, ok := s.Registrations.ContactAge(now)
	if !s.fresh(now) || !ok || s.Registrations.Failing() || age > freshAge || !assigned(s.View(), s.Self) {
		// Registrations may have come and gone unseen.
		clear(m.absent)
		return
	}
	registered := s.registered()
	for service, counts := range registered {
		for version := range counts {
			if versions, row := s.table.get(service); versions == nil && row == 0 || versions != nil && !versions.lists(version) {
				s.ensureListed(ctx, service, version, now.Add(time.Second))
			}
		}
	}
	for service, versions := range s.table.all() {
		m.retire(ctx, service, &versions, registered[service], now)
	}
	m.sweepIfDue(ctx, now)
}

// retire removes the versions of a service that have been absent for long enough. The
// base version is replaced by the one that most replicas have.
func (m *maintainer) retire(ctx context.Context, service core.DeploymentID, versions *Versions, counts map[core.SoftwareVersion]int, now time.Time) {
	s := m.s
	for _, version := range append(versions.Others[:len(versions.Others):len(versions.Others)], versions.Base) {
		id := absentVersion{service, version}
		if counts[version] > 0 {
			delete(m.absent, id)
			continue
		}
		since, known := m.absent[id]
		if !known {
			m.absent[id] = now
			continue
		}
		if now.Sub(since) <= absentTime+s.LongestLife() {
			continue
		}
		next := versions.without(version)
		if version == versions.Base {
			clock, ok := s.Clock()
			if len(counts) == 0 || !ok {
				continue
			}
			next = versions.moved(s.mostUsed(service, version), clock)
		}
		_, row := s.table.get(service)
		changed, err := s.replace(ctx, service, next, row)
		s.log.Info("version of a service is gone", "service", service, "version", version, "absent_ms", now.Sub(since).Milliseconds(),
			"base", next.Base, "changed", changed, "error", err)
		return
	}
}
