package quarantine

import (
	"time"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
)

// gatherDelay is the time in which the reports of all runs of a crash usually arrive.
const gatherDelay = 50 * time.Millisecond

// gatherProofs asks all nodes soon after a crash which of its parts are harmless, and
// stores the answers with the crash: a later decision must not depend on nodes that may
// be gone by then.
func (s *Service) gatherProofs(service core.DeploymentID) {
	defer contain.Recover(s.Log, "proofs after a crash", string(service))
	for {
		time.Sleep(gatherDelay)
		parts := s.partsToGather(service)
		if len(parts) == 0 {
			return
		}
		if _, news := s.askWitnesses(service, parts); news {
			s.Persist()
		}
	}
}

// partsToGather returns the parts of the crashes that have got runs since the last call.
// If there are none, the goroutine that gathers them ends.
func (s *Service) partsToGather(service core.DeploymentID) []Part {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tallyOf(service)
	parts := partsOf(t.ungathered)
	t.ungathered, t.gathering = nil, len(parts) > 0
	return parts
}

// gatherSoon records that the parts of a run are to be gathered. The caller holds the
// lock.
func (s *Service) gatherSoon(service core.DeploymentID, run []Part) {
	t := s.tallyOf(service)
	if len(t.ungathered) < maxRuns {
		t.ungathered = append(t.ungathered, run)
	}
	if !t.gathering {
		t.gathering = true
		go s.gatherProofs(service)
	}
}
