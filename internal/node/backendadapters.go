package node

import (
	"context"
	"sync"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/backend/openai"
	"gentiantide.example/gentiantide/internal/backend/plain"
	"gentiantide.example/gentiantide/internal/httpsend"
	"gentiantide.example/gentiantide/internal/settings"
)

// backends makes the adapters of backend servers and keeps one for each
// address. They share one pool of connections.
type backends struct {
	client   *httpsend.Client
	engines  sync.Map // address to backend.Engine
	services sync.Map // address to *plain.Service
}

func newBackends() *backends { return &backends{client: httpsend.New()} }

func (b *backends) engine(address string) backend.Engine {
	if v, ok := b.engines.Load(address); ok {
		return v.(backend.Engine)
	}
	v, _ := b.engines.LoadOrStore(address, backend.Engine(openai.New(b.client, "http://"+address)))
	return v.(backend.Engine)
}

func (b *backends) plainService(address string) *plain.Service {
	if v, ok := b.services.Load(address); ok {
		return v.(*plain.Service)
	}
	v, _ := b.services.LoadOrStore(address, plain.New(b.client, "http://"+address))
	return v.(*plain.Service)
}

func (b *backends) service(address string) backend.Service { return b.plainService(address) }

// Probe implements directory.Prober.
func (b *backends) Probe(ctx context.Context, kind settings.ServiceKind, address string) (backend.Load, error) {
	if kind == settings.KindPlain {
		return b.plainService(address).Load(ctx)
	}
	return b.engine(address).Load(ctx)
}
