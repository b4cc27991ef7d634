package infra

import "context"

// Objects is the object store. Objects are written whole and never changed;
// keys are chosen so that a repeated put writes the same content.
type Objects interface {
	// Put writes an object. Errors: ErrUnavailable, ErrUnknown.
	Put(ctx context.Context, key string, data []byte) error
	// Get reads an object. Errors: ErrNotFound, ErrUnavailable.
	Get(ctx context.Context, key string) ([]byte, error)
	// Delete removes an object; an absent object is no error.
	// Errors: ErrUnavailable, ErrUnknown.
	Delete(ctx context.Context, key string) error
}
