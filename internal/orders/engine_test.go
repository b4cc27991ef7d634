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

// testEngine executes orders and reports with a lag. Its clock is passed in.
type testEngine struct {
	honours bool

	mu       sync.Mutex
	models   []string
	loading  map[string]time.Time // until when
	role     string
	fencing  uint64
	executed []backend.Order
	reports  []backend.Load
}

// advance ends the loads that are over and notes a report.
func (e *testEngine) advance(now time.Time) {
	for name, end := range e.loading {
		if !now.Before(end) {
			delete(e.loading, name)
			e.models = append(e.models, name)
		}
	}
	e.reports = append(e.reports, backend.Load{At: now, Models: slices.Clone(e.models), Role: e.role, FencingNumber: e.fencing})
}

func (e *testEngine) execute(o backend.Order, now time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.honours && o.FencingNumber < e.fencing {
		return backend.ErrFenced
	}
	e.advance(now)
	e.fencing = max(e.fencing, o.FencingNumber)
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

func (e *testEngine) restart() {
	e.models, e.loading, e.role, e.fencing = nil, map[string]time.Time{}, "", 0
}

// report returns the state as it was a lag ago.
func (e *testEngine) report(now time.Time) Report {
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

func (e *testEngine) downloads(now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(now)
	return len(e.loading)
}

// is returns the difference between the engine and the desired state.
func (e *testEngine) is(d Desired) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Equal(e.models, []string{d.name().String()}) || e.role != d.Role || len(e.loading) > 0 {
		return fmt.Sprintf("engine has %v, role %q, loading %v; wanted %+v", e.models, e.role, e.loading, d)
	}
	return ""
}
