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

// ErrFenced means that an order has a lower fencing number than one executed
// before.
var ErrFenced = errors.New("order rejected: old fencing number")

// Order executes an order. A load order only starts loading; the model appears in
// the load report when it is loaded. Errors: ErrFenced, ErrInvalid.
func (e *Engine) Order(order backend.Order) error {
	name := modelName{model: order.Model, version: order.Version, adapter: order.Adapter}
	if err := checkOrder(order); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.FencingNumber < e.fencingNumber && !e.params.IgnoreFencing {
		e.stats.FencedOrders++
		return ErrFenced
	}
	e.fencingNumber = max(e.fencingNumber, order.FencingNumber)
	e.stats.Orders++
	switch order.Kind {
	case backend.OrderLoad:
		e.startLoading(name)
	case backend.OrderUnload:
		e.unload(name)
	case backend.OrderSetRole:
		e.role = order.Role
	}
	e.recordLoad()
	return nil
}

func checkOrder(order backend.Order) error {
	switch order.Kind {
	case backend.OrderLoad, backend.OrderUnload:
		if order.Model == "" || order.Version == "" {
			return invalidRequest("model and version are required")
		}
	case backend.OrderSetRole:
		if order.Role == "" {
			return invalidRequest("role is required")
		}
	default:
		return invalidRequest(fmt.Sprintf("unknown order kind %q", order.Kind))
	}
	return nil
}

// startLoading starts loading a model that is neither loaded nor being loaded. The
// caller holds the lock.
func (e *Engine) startLoading(name modelName) {
	if _, inProgress := e.loading[name]; inProgress || slices.Contains(e.models, name) {
		return
	}
	ctx, cancel := context.WithCancel(e.ctx)
	e.loading[name] = cancel
	go func() {
		err := e.loadWeights(ctx, name)
		e.mu.Lock()
		defer e.mu.Unlock()
		if ctx.Err() != nil {
			return // the model was unloaded meanwhile, or the engine was closed
		}
		cancel()
		delete(e.loading, name)
		if err == nil {
			e.models = append(e.models, name)
		}
		e.recordLoad()
	}()
}

// unload removes a model or stops loading it. The caller holds the lock.
func (e *Engine) unload(name modelName) {
	if cancel, inProgress := e.loading[name]; inProgress {
		cancel()
		delete(e.loading, name)
	}
	e.models = slices.DeleteFunc(e.models, func(m modelName) bool { return m == name })
}

// loadWeights downloads the weights from the weight store. Without a weight store
// it waits for LoadTime.
func (e *Engine) loadWeights(ctx context.Context, name modelName) error {
	if e.params.WeightsURL == "" {
		if !httpkit.Sleep(ctx, time.Duration(e.params.LoadTime)) {
			return ctx.Err()
		}
		return nil
	}
	return download(ctx, e.params.WeightsURL, name)
}
