package membership

import (
	"hash/fnv"
	"time"
)

// refresh computes the view anew and tells the hook if a state changed.
func (s *Service) refresh(now time.Time) {
	s.mu.Lock()
	view := s.tracker.View(now, s.settingsVersion())
	s.forgetUnknown(view)
	s.mu.Unlock()
	old := s.view.Swap(view)
	if fingerprint(old) == fingerprint(view) {
		return
	}
	s.logChanges(old, view)
	if s.hooks.OnView != nil {
		s.hooks.OnView(view)
	}
}

func (s *Service) forgetUnknown(view *View) {
	for id := range s.known {
		if _, ok := view.Member(id); !ok {
			delete(s.known, id)
			s.network.Forget(id)
		}
	}
}

func (s *Service) logChanges(old, now *View) {
	for _, m := range now.Members() {
		before, _ := old.Member(m.ID)
		if before.State != m.State {
			s.log.Info("node state changed", "node", m.ID, "from", before.State, "to", m.State)
		}
	}
}

// fingerprint identifies the ids, states and incarnations of a view.
func fingerprint(v *View) uint64 {
	h := fnv.New64a()
	for _, m := range v.Members() {
		_, _ = h.Write([]byte(m.ID))
		_, _ = h.Write([]byte{0, byte(m.State)})
		for shift := 0; shift < 64; shift += 8 {
			_, _ = h.Write([]byte{byte(m.Incarnation >> shift)})
		}
	}
	return h.Sum64()
}
