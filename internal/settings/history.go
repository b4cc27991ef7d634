package settings

import (
	"context"

	"gentiantide.example/gentiantide/internal/core"
)

// maxHistoryPages bounds the log pages that one call of History reads. With the
// default page of 200 rows these are 10,000 changes.
const maxHistoryPages = 50

// History returns up to limit log entries, newest first. If path is not empty,
// it returns only entries of that node. It searches the newest maxHistoryPages
// pages of the log.
func (m *Manager) History(ctx context.Context, path string, limit int) ([]Entry, *core.Refusal) {
	if path != "" {
		if _, err := PathKind(path); err != nil {
			return nil, core.Refuse(core.CodeInvalidRequest, err.Error())
		}
	}
	h, _, err := m.store.head(ctx)
	if err != nil {
		return nil, storeUnavailable(err)
	}
	var out []Entry
	to := h.Version
	for page := 0; page < maxHistoryPages && to > 0 && len(out) < limit; page++ {
		from := to - min(to, uint64(m.store.scanPageRows))
		entries, err := m.store.entries(ctx, from, int(to-from))
		if err != nil {
			return nil, storeUnavailable(err)
		}
		for i := len(entries) - 1; i >= 0 && len(out) < limit; i-- {
			if entries[i].Version > to {
				continue // older entries of this page were deleted, so the scan ran past it
			}
			if path == "" || entries[i].Path == path {
				out = append(out, entries[i])
			}
		}
		if len(entries) == 0 || entries[0].Version > from+1 {
			break // this is the oldest page of the log
		}
		to = from
	}
	return out, nil
}
