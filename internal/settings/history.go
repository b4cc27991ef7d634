package settings

import (
	"context"

	"gentiantide.example/gentiantide/internal/core"
)

// historyPages bounds the log pages that one search reads: 10,000 changes.
const historyPages = 50

// History returns up to limit log entries, newest first. With a path only the
// entries of that node are returned, out of historyPages pages of changes.
func (m *Manager) History(ctx context.Context, path string, limit int) ([]Entry, *core.Refusal) {
	if path != "" {
		if _, err := PathKind(path); err != nil {
			return nil, core.Refuse(core.CodeInvalidRequest, err.Error())
		}
	}
	h, _, err := m.store.head(ctx)
	if err != nil {
		return nil, unavailable(err)
	}
	var out []Entry
	to := h.Version
	for page := 0; page < historyPages && to > 0 && len(out) < limit; page++ {
		from := to - min(to, uint64(m.store.scanPage))
		entries, err := m.store.entries(ctx, from, int(to-from))
		if err != nil {
			return nil, unavailable(err)
		}
		for i := len(entries) - 1; i >= 0 && len(out) < limit; i-- {
			if entries[i].Version > to {
				continue // the older ones that were asked for are deleted
			}
			if path == "" || entries[i].Path == path {
				out = append(out, entries[i])
			}
		}
		if len(entries) == 0 || entries[0].Version > from+1 {
			break // the log begins here
		}
		to = from
	}
	return out, nil
}
