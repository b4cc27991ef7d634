package placement

import (
	"context"
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

const (
	// hubProbeInterval is the time between probes of a hub that did not answer.
	// While some nodes use it again and others do not yet, two hubs grant the same
	// slots.
	hubProbeInterval = 300 * time.Millisecond
)

// downHub is a hub that did not answer. It gets no requests until it has
// answered a probe, so that no request waits for its timeout.
type downHub struct {
	probeAt time.Time
	probing bool
}

// usableHubs returns the hubs of a group that are not down, in the order in
// which to ask them.
func (s *Service) usableHubs(g group) []core.NodeID {
	hubs := s.candidates.Load().hubs(g)
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(hubs), func(id core.NodeID) bool { return s.downHubs[id] != nil })
}

// Hubs returns the usable hubs of a service as a whole, in the order in which to ask
// them.
func (s *Service) Hubs(service core.DeploymentID) []core.NodeID {
	return s.usableHubs(group{Service: service, Count: 1})
}

// markDown excludes a hub that failed to answer a call. It is used again once it
// has answered a probe.
func (s *Service) markDown(hub core.NodeID, err error) {
	s.mu.Lock()
	_, alreadyDown := s.downHubs[hub]
	if !alreadyDown {
		s.downHubs[hub] = &downHub{probeAt: time.Now().Add(hubProbeInterval)}
	}
	s.mu.Unlock()
	if !alreadyDown { // otherwise another request has noticed it
		s.checkReach(s.dataCentreOf(hub))
		s.Log.Warn("hub does not answer; excluding it until it answers a probe", "node", hub, "error", err)
	}
}

// checkFormerHubs finds out whether this node reaches the hubs that come before it, as it
// was asked in their place.
func (s *Service) checkFormerHubs(g group) {
	for _, id := range s.usableHubs(g) {
		if id == s.Transport.Self() {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), hubCallTimeout)
		err := s.Transport.Call(ctx, id, kindProbe, nil, nil)
		cancel()
		if err != nil {
			s.markDown(id, err)
		}
	}
}

// probeDownHubs starts the probes that are due and removes hubs that have left
// the directory.
func (s *Service) probeDownHubs(ctx context.Context, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for hub, d := range s.downHubs {
		if _, known := s.peerAddresses[hub]; !known && hub != s.Transport.Self() {
			delete(s.downHubs, hub) // it has left the directory
			continue
		}
		if !d.probing && !now.Before(d.probeAt) {
			d.probing = true
			go s.probe(ctx, hub, d)
		}
	}
}

func (s *Service) probe(ctx context.Context, hub core.NodeID, d *downHub) {
	ctx, cancel := context.WithTimeout(ctx, hubCallTimeout)
	defer cancel()
	err := s.Transport.Call(ctx, hub, kindProbe, nil, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	d.probing = false
	if err == nil {
		delete(s.downHubs, hub)
		s.Log.Info("hub answers again", "node", hub)
		s.recordContact(s.dataCentreOf(hub), time.Now())
		return
	}
	d.probeAt = time.Now().Add(hubProbeInterval)
}
