package httpkit

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const maxFault = 64 << 10

// FaultControl holds the current fault plan of a server, of type T, and lets
// callers read and replace it over HTTP. The zero value of T injects no faults.
type FaultControl[T any] struct {
	setMu sync.Mutex // makes storing the plan and calling OnSet one step
	plan  atomic.Pointer[T]
	// OnSet, if not nil, is called with each new plan, one call at a time.
	OnSet func(T)
}

// Get returns the current plan.
func (f *FaultControl[T]) Get() T {
	if p := f.plan.Load(); p != nil {
		return *p
	}
	var zero T
	return zero
}

// Set replaces the plan and calls OnSet.
func (f *FaultControl[T]) Set(plan T) {
	f.setMu.Lock()
	defer f.setMu.Unlock()
	f.plan.Store(&plan)
	if f.OnSet != nil {
		f.OnSet(plan)
	}
}

// Mount registers GET and POST /fault. POST replaces the whole plan; fields
// missing from its body are reset to their zero value.
func (f *FaultControl[T]) Mount(mux *http.ServeMux) {
	mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) {
		WriteJSON(w, http.StatusOK, f.Get())
	})
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		var plan T
		if ReadJSON(w, r, maxFault, &plan) {
			f.Set(plan)
			WriteJSON(w, http.StatusOK, plan)
		}
	})
}

// MountHealthz registers GET /healthz, which always responds with 200.
func MountHealthz(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
}

// Sleep waits for d or until ctx ends. It reports whether the whole duration
// passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
