package retention

import "time"

// SweepDump is the state of the sweep of one prefix at this node.
type SweepDump struct {
	Prefix string `json:"prefix"`
	Owned  bool   `json:"owned"`
	// Cursor is the key of the last row that was judged in a running sweep.
	Cursor string    `json:"cursor,omitempty"`
	Began  time.Time `json:"began,omitzero"`
	Ended  time.Time `json:"last_ended,omitzero"`
	Error  string    `json:"last_error,omitempty"`
	Counts Counts    `json:"counts"`
}

// Dump returns a list of SweepDump.
func (s *Service) Dump() any {
	var out []SweepDump
	for _, w := range s.sweeps {
		out = append(out, w.dump())
	}
	return out
}

func (s *sweep) dump() SweepDump {
	owned := s.owned()
	s.mu.Lock()
	defer s.mu.Unlock()
	return SweepDump{
		Prefix: s.prefix, Owned: owned, Cursor: s.cursor, Began: s.began.UTC(), Ended: s.ended,
		Error: s.failure, Counts: s.counts.read(),
	}
}
