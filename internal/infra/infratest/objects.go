package infratest

import (
	"context"
	"sync"

	"gentiantide.example/gentiantide/internal/infra"
)

// Objects is an in-memory infra.Objects with fault injection.
type Objects struct {
	Faults

	mu   sync.Mutex
	data map[string][]byte
}

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	return &Objects{data: make(map[string][]byte)}
}

// Put implements infra.Objects.
func (o *Objects) Put(ctx context.Context, key string, data []byte) error {
	if err := o.beforeCall(ctx, true); err != nil {
		return err
	}
	o.mu.Lock()
	o.data[key] = append([]byte(nil), data...)
	o.mu.Unlock()
	return o.afterWrite()
}

// Get implements infra.Objects.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	if err := o.beforeCall(ctx, false); err != nil {
		return nil, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	data, ok := o.data[key]
	if !ok {
		return nil, infra.ErrNotFound
	}
	return append([]byte(nil), data...), nil
}

// Delete implements infra.Objects.
func (o *Objects) Delete(ctx context.Context, key string) error {
	if err := o.beforeCall(ctx, true); err != nil {
		return err
	}
	o.mu.Lock()
	delete(o.data, key)
	o.mu.Unlock()
	return o.afterWrite()
}
