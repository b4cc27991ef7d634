package orders

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/backend"
)

const (
	reportLag = time.Second
	loadTime  = 15 * time.Second
)

// fakeEngine executes orders and reports its state with a lag. Callers pass the
// current time.
type fakeEngine struct {
	honoursFencing bool

	mu            sync.Mutex
	models        []string
	loading       map[string]time.Time // end of each load, by model
	role          string
	fencingNumber uint64
	executed      []backend.Order
	reports       []backend.Load
}

// advance completes the loads whose end has passed and records a report.
func (e *fakeEngine) advance(now time.Time) {
	for name, end := range e.loading {
		if !now.Before(end) {
			delete(e.loading, name)
			e.models = append(e.models, name)
		}
	}
	e.reports = append(e.reports, backend.Load{At: now, Models: slices.Clone(e.models), Role: e.role, FencingNumber: e.fencingNumber})
}

func (e *fakeEngine) execute(o backend.Order, now time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.honoursFencing && o.FencingNumber < e.fencingNumber {
		return backend.ErrFenced
	}
	e.advance(now)
	e.fencingNumber = max(e.fencingNumber, o.FencingNumber)
	e.executed = append(e.executed, o)
	name := modelOf(o).String()
	switch o.Kind {
	case backend.OrderSetRole:
		e.role = o.Role
	case backend.OrderUnload:
		delete(e.loading, name)
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == name })
	case backend.OrderLoad:
		if _, busy := e.loading[name]; !busy && !slices.Contains(e.models, name) {
			e.loading[name] = now.Add(loadTime)
		}
	}
	e.advance(now)
	return nil
}

func (e *fakeEngine) restart() {
	e.models, e.loading, e.role, e.fencingNumber = nil, map[string]time.Time{}, "", 0
}

// report returns the state as it was reportLag ago.
func (e *fakeEngine) report(now time.Time) Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(now)
	i := len(e.reports) - 1
	for i > 0 && now.Sub(e.reports[i].At) < reportLag {
		i--
	}
	e.reports = e.reports[i:]
	return Report{Load: e.reports[0], Received: now}
}

func (e *fakeEngine) activeLoads(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(now)
	return len(e.loading)
}

// diffFrom describes how the engine differs from the desired state; "" if it does
// not.
func (e *fakeEngine) diffFrom(d Desired) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Equal(e.models, []string{d.target().String()}) || e.role != d.Role || len(e.loading) > 0 {
		return fmt.Sprintf("engine has %v, role %q, loading %v; wanted %+v", e.models, e.role, e.loading, d)
	}
	return ""
}
