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

// backendAdapters holds one adapter for each address of a backend server, created
// at its first use. The adapters share one connection pool.
type backendAdapters struct {
	client   *httpsend.Client
	engines  sync.Map // address to backend.Engine
	services sync.Map // address to *plain.Service
}

func newBackendAdapters() *backendAdapters { return &backendAdapters{client: httpsend.New()} }

func (b *backendAdapters) engine(address string) backend.Engine {
	if v, ok := b.engines.Load(address); ok {
		return v.(backend.Engine)
	}
	v, _ := b.engines.LoadOrStore(address, backend.Engine(openai.New(b.client, "http://"+address)))
	return v.(backend.Engine)
}

func (b *backendAdapters) plainService(address string) *plain.Service {
	if v, ok := b.services.Load(address); ok {
		return v.(*plain.Service)
	}
	v, _ := b.services.LoadOrStore(address, plain.New(b.client, "http://"+address))
	return v.(*plain.Service)
}

func (b *backendAdapters) service(address string) backend.Service { return b.plainService(address) }

// Probe implements directory.Prober. It returns the current load of a backend
// server.
func (b *backendAdapters) Probe(ctx context.Context, kind settings.DeploymentKind, address string) (backend.Load, error) {
	if kind == settings.KindPlain {
		return b.plainService(address).Load(ctx)
	}
	return b.engine(address).Load(ctx)
}
