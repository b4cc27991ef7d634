package placement

import (
	"context"
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// probeMin is how long after a hub did not answer it is probed. Each further
	// failure in a row doubles it, up to probeMax.
	probeMin = 300 * time.Millisecond
	probeMax = time.Second
)

// absence is a hub that does not answer. No request is held for it: it is asked
// again once it answered a probe.
type absence struct {
	probeAt time.Time
	pause   time.Duration
	probing bool
}

// usable returns the hubs of a group that are not absent.
func (s *Service) usable(g group) []core.NodeID {
	hubs := s.electable.Load().hubs(g)
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(hubs), func(id core.NodeID) bool { return s.down[id] != nil })
}

// giveUp does not ask a hub that did not answer.
func (s *Service) giveUp(hub core.NodeID, err error) {
	s.mu.Lock()
	_, known := s.down[hub]
	if !known {
		s.down[hub] = &absence{probeAt: time.Now().Add(probeMin), pause: probeMin}
	}
	s.mu.Unlock()
	if !known { // else another request has found out
		s.Log.Warn("node that places requests does not answer", "node", hub, "error", err)
	}
}

// probeAbsent probes the absent hubs whose time has come.
func (s *Service) probeAbsent(ctx context.Context, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for hub, a := range s.down {
		if _, known := s.known[hub]; !known && hub != s.Transport.Self() {
			delete(s.down, hub) // it has left
			continue
		}
		if !a.probing && !now.Before(a.probeAt) {
			a.probing = true
			go s.probe(ctx, hub, a)
		}
	}
}

func (s *Service) probe(ctx context.Context, hub core.NodeID, a *absence) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	err := s.Transport.Call(ctx, hub, kindProbe, nil, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	a.probing = false
	if err == nil {
		delete(s.down, hub)
		s.Log.Info("node that places requests answers again", "node", hub)
		return
	}
	a.pause = min(2*a.pause, probeMax)
	a.probeAt = time.Now().Add(a.pause)
}
