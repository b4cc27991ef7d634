package retention

import (
	"context"

	"gentiantide.example/gentiantide/internal/infra"
	"gentiantide.example/gentiantide/internal/intent"
)

// intents are the records of non-idempotent calls, in whatever state.
type intents struct{}

func (intents) page(ctx context.Context, s *sweep, rows []infra.Row) (last bool) {
	var old []infra.Row
	for _, row := range rows {
		written, err := intent.WrittenAt(row.Value)
		if err != nil {
			s.counts.unreadable.Add(1)
		} else if Outdated(written, s.o.Now(), s.settings().Intents) {
			old = append(old, row)
		}
	}
	s.deleteRows(ctx, old)
	return false
}
