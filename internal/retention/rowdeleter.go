package retention

import (
	"context"

	"gentiantide.example/gentiantide/internal/infra"
)

// rowDeleter deletes the rows of one prefix whose retention has passed, and the
// objects that belong to them.
type rowDeleter interface {
	// deletePage deletes those of rows whose retention has passed. rows are in
	// key order. done says that the rest of the prefix need not be read.
	deletePage(ctx context.Context, s *sweeper, rows []infra.Row) (done bool)
}
