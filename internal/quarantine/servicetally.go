package quarantine

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// serviceTally is the tally of a service. The mutex of Service guards it.
type serviceTally struct {
	crashTally
	// evaluating is set while a goroutine evaluates the tally, and changed if it has
	// changed since that began, or since the last one ended.
	evaluating, changed bool
	// gathering is set while a goroutine asks which parts of crashes are harmless, and
	// ungathered are the runs that it has not asked about.
	gathering  bool
	ungathered [][]Part
}

// tallyOf returns the tally of a service. The caller holds the lock.
func (s *Service) tallyOf(service core.DeploymentID) *serviceTally {
	t := s.tallies[service]
	if t == nil {
		t = &serviceTally{}
		s.tallies[service] = t
	}
	return t
}

// evaluateIfChanged starts an evaluation of the tally of a service unless one runs or
// nothing has changed. The caller holds the lock.
func (s *Service) evaluateIfChanged(service core.DeploymentID) {
	t := s.tallyOf(service)
	if !t.evaluating && t.changed {
		t.evaluating = true
		go s.evaluate(service)
	}
}

// evaluateAsFirstHub starts the evaluations that are due of the services of which this
// node is the first hub. The node that the crashes were reported to may be gone.
func (s *Service) evaluateAsFirstHub() {
	for _, service := range s.changedServices() {
		if hubs := s.Hubs(service); len(hubs) > 0 && hubs[0] == s.Messenger.Self() {
			s.mu.Lock()
			s.evaluateIfChanged(service)
			s.mu.Unlock()
		}
	}
}

// changedServices returns the services whose tallies have changed and are not being
// evaluated.
func (s *Service) changedServices() []core.DeploymentID {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []core.DeploymentID
	for service, t := range s.tallies {
		if t.changed && !t.evaluating {
			out = append(out, service)
		}
	}
	return out
}

// forget removes the tallies in which no crash counts any more. The caller holds the
// lock.
func (s *Service) forget(now time.Time) {
	for service, t := range s.tallies {
		if t.expire(now); len(t.crashes) == 0 && !t.evaluating && !t.gathering {
			delete(s.tallies, service)
		}
	}
}

// acquit clears parts of the crashes of a service, or of all if it is empty, up to the
// times at which harmless runs with them began. The zero time is none. It reports whether
// any part was not known to be harmless.
func (s *Service) acquit(service core.DeploymentID, parts []Part, times []time.Time) (news bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, t := range s.tallies {
		if service != "" && name != service {
			continue
		}
		for i, part := range parts {
			if times[i].IsZero() {
				continue
			}
			news = news || !t.harmless[part]
			if t.acquit(part, times[i]) {
				news, t.changed = true, true
			}
		}
	}
	return news
}
