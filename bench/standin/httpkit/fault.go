package httpkit

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const maxFault = 64 << 10

// Fault holds the commanded fault plan of type T. Its zero plan is healthy.
type Fault[T any] struct {
	setting sync.Mutex // keeps plan and what OnSet did in step
	plan    atomic.Pointer[T]
	// OnSet, if not nil, is called with each new plan.
	OnSet func(T)
}

// Get returns the plan in force.
func (f *Fault[T]) Get() T {
	if p := f.plan.Load(); p != nil {
		return *p
	}
	var zero T
	return zero
}

// Set replaces the plan.
func (f *Fault[T]) Set(plan T) {
	f.setting.Lock()
	defer f.setting.Unlock()
	f.plan.Store(&plan)
	if f.OnSet != nil {
		f.OnSet(plan)
	}
}

// Mount serves GET and POST /fault. A post replaces the whole plan; fields
// that it leaves out are healthy.
func (f *Fault[T]) Mount(mux *http.ServeMux) {
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

// Healthz serves GET /healthz.
func Healthz(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
}

// Sleep waits for d or until ctx ends and reports whether it waited in full.
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
