package retention

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/settings"
)

// settingsLogDeleter deletes old entries of the settings log, from its beginning
// up to the first entry that is kept, so that the rest has no gap.
type settingsLogDeleter struct{}

func (settingsLogDeleter) deletePage(ctx context.Context, s *sweeper, rows []infra.Row) (done bool) {
	newest := s.options.Settings().Version() // at most the version in the table
	var expired []infra.Row
	for _, row := range rows {
		var e settings.Entry
		if err := msgpack.Unmarshal(row.Value, &e); err != nil {
			s.counts.unreadable.Add(1)
			done = true
		} else if !LogEntryPastRetention(&e, newest, s.options.Now(), s.settings()) {
			done = true
		}
		if done {
			break
		}
		expired = append(expired, row)
	}
	return !s.deleteRows(ctx, expired) || done
}
