package infra

import "context"

// Weights is the store of model weights. The platform limits its request rate.
type Weights interface {
	// Stat returns the size in bytes of a model's weights.
	// Errors: ErrNotFound, ErrUnavailable.
	Stat(ctx context.Context, model, version string) (int64, error)
}
