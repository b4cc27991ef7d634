package infra

import "context"

// Objects is the object store. Objects are written whole and are immutable:
// clients choose keys such that a repeated Put writes the same content.
type Objects interface {
	// Put writes an object. Errors: ErrUnavailable, ErrOutcomeUnknown.
	Put(ctx context.Context, key string, data []byte) error
	// Get reads an object. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) ([]byte, error)
	// Delete removes an object. Deleting an absent object succeeds.
	// Errors: ErrUnavailable, ErrOutcomeUnknown.
	Delete(ctx context.Context, key string) error
}
