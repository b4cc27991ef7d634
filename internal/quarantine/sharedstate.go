package quarantine

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/wire"
)

// storedEntry is an entry in the store. Until is a time of the store's clock.
type storedEntry struct {
	Part    Part          `msgpack:"p"`
	Round   int           `msgpack:"r"`
	Crashes int           `msgpack:"c"`
	Until   time.Duration `msgpack:"u"`
	Lifted  bool          `msgpack:"l,omitempty"`
	By      core.NodeID   `msgpack:"b"`
}

// Reconcile implements nodes.SharedState.
func (s *Service) Reconcile(stored []byte, clock time.Duration) (update []byte, changed bool) {
	var known []storedEntry
	if len(stored) > 0 {
		if err := wire.Unmarshal(stored, &known); err != nil {
			s.Log.Error("stored quarantine cannot be decoded; it is replaced", "error", err)
		}
	}
	now := time.Now()
	inStore := make(map[Part]Entry, len(known))
	for _, e := range known {
		entry := Entry{Part: e.Part, Round: e.Round, Crashes: e.Crashes, Until: now.Add(e.Until - clock), Lifted: e.Lifted, By: e.By}
		inStore[e.Part] = entry
		s.apply(entry, now, "read from the store")
	}
	all := s.list.all(now)
	changed = len(all) == 0 && len(stored) > 0 // only forgotten entries are stored
	out := make([]storedEntry, len(all))
	for i, e := range all {
		out[i] = storedEntry{Part: e.Part, Round: e.Round, Crashes: e.Crashes, Until: clock + e.Until.Sub(now), Lifted: e.Lifted, By: e.By}
		if old, ok := inStore[e.Part]; !ok || e.supersedes(&old) {
			changed = true
		}
	}
	if !changed || len(out) == 0 {
		return nil, changed
	}
	update, err := msgpack.Marshal(out)
	if err != nil {
		s.Log.Error("quarantine cannot be encoded; it is not stored", "error", err)
		return nil, false
	}
	return update, true
}
