package retention

import (
	"context"

	"gentiantide.example/gentiantide/internal/infra"
)

// kind is what is swept under a prefix.
type kind interface {
	// page deletes what is outdated among rows, which are in key order. last
	// says that the rest of the prefix need not be read.
	page(ctx context.Context, s *sweep, rows []infra.Row) (last bool)
}
