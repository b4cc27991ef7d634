package membership

import (
	"hash/fnv"
	"time"
)

// refreshView computes a new view. If an ID, a state or an incarnation changed, it
// logs the changed states and calls the OnView hook.
func (s *Service) refreshView(now time.Time) {
	s.mu.Lock()
	view := s.tracker.View(now, s.settingsVersion())
	s.disconnectRemoved(view)
	s.mu.Unlock()
	old := s.view.Swap(view)
	if stateHash(old) == stateHash(view) {
		return
	}
	s.logChanges(old, view)
	if s.hooks.OnView != nil {
		s.hooks.OnView(view)
	}
}

// disconnectRemoved closes the connections to nodes that are no longer members.
func (s *Service) disconnectRemoved(view *View) {
	for id := range s.connected {
		if _, ok := view.Member(id); !ok {
			delete(s.connected, id)
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

// stateHash returns a hash of the IDs, states and incarnations of a view.
func stateHash(v *View) uint64 {
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
