package retention

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/settings"
)

// settingsLog is the history of the settings. It is deleted from its beginning
// up to the first entry that is kept, so that what remains has no gap.
type settingsLog struct{}

func (settingsLog) page(ctx context.Context, s *sweep, rows []infra.Row) (last bool) {
	newest := s.o.Settings().Version() // not above that of the table
	var old []infra.Row
	for _, row := range rows {
		var e settings.Entry
		if err := msgpack.Unmarshal(row.Value, &e); err != nil {
			s.counts.unreadable.Add(1)
			last = true
		} else if !LogEntryOutdated(&e, newest, s.o.Now(), s.settings()) {
			last = true
		}
		if last {
			break
		}
		old = append(old, row)
	}
	return !s.deleteRows(ctx, old) || last
}
