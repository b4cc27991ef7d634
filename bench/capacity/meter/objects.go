package meter

import (
	"context"
	"sync/atomic"

	"gentiantide.example/gentiantide/internal/infra"
)

// Objects counts the calls to an infra.Objects. With Discard set it drops the
// data, so that the memory of the writer can be measured without that of the
// store.
type Objects struct {
	infra.Objects
	Discard           bool
	Puts, Gets, Bytes atomic.Int64
}

// Put implements infra.Objects.
func (o *Objects) Put(ctx context.Context, key string, data []byte) error {
	o.Puts.Add(1)
	o.Bytes.Add(int64(len(data)))
	if o.Discard {
		return nil
	}
	return o.Objects.Put(ctx, key, data)
}

// Get implements infra.Objects.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	o.Gets.Add(1)
	return o.Objects.Get(ctx, key)
}
