package engine

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"gentiantide.example/gentiantide/bench/standin/httpkit"
	"gentiantide.example/gentiantide/internal/backend"
)

// ErrFenced means that an order has an older fencing number than one taken
// before.
var ErrFenced = errors.New("old fencing number")

// Order takes an order. A load returns at once and the model appears in the
// load report when it is loaded. Errors: ErrFenced, ErrInvalid.
func (e *Engine) Order(order backend.Order) error {
	name := modelName{model: order.Model, version: order.Version, adapter: order.Adapter}
	if err := checkOrder(order); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.FencingNumber < e.fencing && !e.params.IgnoreFencing {
		e.stats.FencedOrders++
		return ErrFenced
	}
	e.fencing = max(e.fencing, order.FencingNumber)
	e.stats.Orders++
	switch order.Kind {
	case backend.OrderLoad:
		e.startLoading(name)
	case backend.OrderUnload:
		e.unload(name)
	case backend.OrderSetRole:
		e.role = order.Role
	}
	e.noteLoad()
	return nil
}

func checkOrder(order backend.Order) error {
	switch order.Kind {
	case backend.OrderLoad, backend.OrderUnload:
		if order.Model == "" || order.Version == "" {
			return invalid("model and version are required")
		}
	case backend.OrderSetRole:
		if order.Role == "" {
			return invalid("role is required")
		}
	default:
		return invalid(fmt.Sprintf("unknown kind %q", order.Kind))
	}
	return nil
}

// startLoading must be called with the lock held.
func (e *Engine) startLoading(name modelName) {
	if _, busy := e.loading[name]; busy || slices.Contains(e.models, name) {
		return
	}
	ctx, cancel := context.WithCancel(e.ctx)
	e.loading[name] = cancel
	go func() {
		err := e.fetch(ctx, name)
		e.mu.Lock()
		defer e.mu.Unlock()
		if ctx.Err() != nil {
			return // unloaded meanwhile, or the engine has ended
		}
		cancel()
		delete(e.loading, name)
		if err == nil {
			e.models = append(e.models, name)
		}
		e.noteLoad()
	}()
}

// unload must be called with the lock held.
func (e *Engine) unload(name modelName) {
	if cancel, busy := e.loading[name]; busy {
		cancel()
		delete(e.loading, name)
	}
	e.models = slices.DeleteFunc(e.models, func(m modelName) bool { return m == name })
}

// fetch loads the weights from the weight store, or takes the fixed time.
func (e *Engine) fetch(ctx context.Context, name modelName) error {
	if e.params.WeightsURL == "" {
		if !httpkit.Sleep(ctx, time.Duration(e.params.LoadTime)) {
			return ctx.Err()
		}
		return nil
	}
	return download(ctx, e.params.WeightsURL, name)
}
