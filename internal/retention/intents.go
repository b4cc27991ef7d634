package retention

import (
	"context"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/intent"
)

// intentDeleter deletes the records of non-idempotent calls, in any state.
type intentDeleter struct{}

func (intentDeleter) deletePage(ctx context.Context, s *sweeper, rows []infra.Row) (done bool) {
	var expired []infra.Row
	for _, row := range rows {
		written, err := intent.WrittenAt(row.Value)
		if err != nil {
			s.counts.unreadable.Add(1)
		} else if PastRetention(written, s.options.Now(), s.settings().Intents) {
			expired = append(expired, row)
		}
	}
	s.deleteRows(ctx, expired)
	return false
}
