package roles

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"

	"gentiantide.example/gentiantide/bench/capacity/meter"
	"gentiantide.example/gentiantide/bench/capacity/slope"
	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/dispatch"
	"gentiantide.example/gentiantide/internal/httpapi/callers"
	"gentiantide.example/gentiantide/internal/relay"
	"gentiantide.example/gentiantide/internal/settings"
)

// Handler measures the HTTP handler for callers and the relay without connections,
// to separate their part of the cost of a token.
func Handler(env *Environment) error {
	snapshot := settings.NewSnapshot(settings.SnapshotInput{Deployments: []settings.Deployment{
		{ID: "verse-models", Kind: settings.KindModel, Model: relayModel, MaxAttempts: 2}}})
	cpu := &slope.Slope{Name: "handler.cpu_per_token", Unit: "us"}
	allocations := &slope.Slope{Name: "handler.allocations_per_token", Unit: "1"}
	for _, tokens := range []int{1, 150, peakTokens} {
		engine := &fixedEngine{tokens: tokens}
		mux := http.NewServeMux()
		callers.Register(mux, callers.Config{Settings: constant(snapshot), NewID: func() string { return "id" },
			Relay: relay.New(relay.Config{Acquirer: engine, Budget: engine, Settings: constant(snapshot),
				Engines: func(string) backend.Engine { return engine }})})
		body := `{"model":"` + relayModel + `","stream":true,"messages":[{"role":"user","content":"a couplet"}]}`
		call := func() {
			mux.ServeHTTP(discardResponse{make(http.Header)}, httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body)))
		}
		cpu.Add(float64(tokens), microseconds(meter.CPUTimePerCall(100, minCPUTime, call)))
		allocations.Add(float64(tokens), allocationsPerCall(call))
	}
	env.Print.Slope(cpu)
	env.Print.Slope(allocations)
	return nil
}

// allocationsPerCall returns the mean number of heap allocations of a call.
func allocationsPerCall(call func()) float64 {
	const calls = 200
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range calls {
		call()
	}
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / calls
}

// fixedEngine implements the engine, its stream, the dispatcher, the slot and the
// retry budget. None of its methods allocates memory per token.
type fixedEngine struct {
	backend.Engine
	tokens, emitted int
}

// Generate implements backend.Engine.
func (e *fixedEngine) Generate(context.Context, backend.GenerateRequest) (backend.Stream, error) {
	return &fixedEngine{tokens: e.tokens}, nil
}

// Next implements backend.Stream.
func (e *fixedEngine) Next() (backend.Token, error) {
	if e.emitted == e.tokens {
		return backend.Token{}, io.EOF
	}
	e.emitted++
	return backend.Token{Index: e.emitted - 1, Text: " lantern"}, nil
}

// Finish implements backend.Stream.
func (e *fixedEngine) Finish() backend.Finish {
	return backend.Finish{Reason: "length", OutputTokens: e.tokens}
}

// Close implements backend.Stream.
func (*fixedEngine) Close() error { return nil }

// Acquire implements relay.Acquirer.
func (e *fixedEngine) Acquire(context.Context, dispatch.Request) (dispatch.Slot, *core.Refusal) {
	return e, nil
}

// Replica implements dispatch.Slot.
func (*fixedEngine) Replica() core.ReplicaID { return "r" }

// Address implements dispatch.Slot.
func (*fixedEngine) Address() string { return "r" }

// Preempted implements dispatch.Slot.
func (*fixedEngine) Preempted() <-chan struct{} { return nil }

// Release implements dispatch.Slot.
func (*fixedEngine) Release(dispatch.Observation) {}

// RecordSuccess implements relay.Budget.
func (*fixedEngine) RecordSuccess(core.DeploymentID, float64) {}

// Spend implements relay.Budget.
func (*fixedEngine) Spend(core.DeploymentID) bool { return true }

// discardResponse is an http.ResponseWriter that drops the response.
type discardResponse struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d discardResponse) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (discardResponse) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (discardResponse) WriteHeader(int) {}

// Flush implements http.Flusher.
func (discardResponse) Flush() {}
