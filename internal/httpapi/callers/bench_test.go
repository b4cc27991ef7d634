package callers

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	"gentiantide.example/gentiantide/internal/backend"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/dispatch"
	"gentiantide.example/gentiantide/internal/relay"
	"gentiantide.example/gentiantide/internal/settings"
)

const benchTokens = 450

// benchEngine stands in for the engine, its stream, the dispatcher, the slot and
// the retry budget. None of its methods allocates per token.
type benchEngine struct {
	backend.Engine
	at int
}

func (e *benchEngine) Generate(context.Context, backend.GenerateRequest) (backend.Stream, error) {
	return &benchEngine{}, nil
}

func (e *benchEngine) Next() (backend.Token, error) {
	if e.at == benchTokens {
		return backend.Token{}, io.EOF
	}
	e.at++
	return backend.Token{Index: e.at - 1, Text: " lantern"}, nil
}

func (e *benchEngine) Finish() backend.Finish {
	return backend.Finish{Reason: "length", OutputTokens: benchTokens}
}

func (e *benchEngine) Close() error { return nil }

func (e *benchEngine) Acquire(context.Context, dispatch.Request) (dispatch.Slot, *core.Refusal) {
	return e, nil
}

func (e *benchEngine) Replica() core.ReplicaID                  { return "r" }
func (e *benchEngine) Address() string                          { return "r" }
func (e *benchEngine) Preempted() <-chan struct{}               { return nil }
func (e *benchEngine) Release(dispatch.Observation)             {}
func (e *benchEngine) RecordSuccess(core.DeploymentID, float64) {}
func (e *benchEngine) Spend(core.DeploymentID) bool             { return true }

// discardWriter is a response writer that discards the response.
type discardWriter struct{ header http.Header }

func (w discardWriter) Header() http.Header         { return w.header }
func (w discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (w discardWriter) WriteHeader(int)             {}
func (w discardWriter) Flush()                      {}

// BenchmarkRelayStream streams one response of 450 tokens per operation through
// the handler and the relay.
func BenchmarkRelayStream(b *testing.B) {
	snapshot := settings.NewSnapshot(settings.SnapshotInput{Deployments: []settings.Deployment{{ID: "verse-models", Kind: settings.KindModel, Model: "verse", MaxAttempts: 2}}})
	current := func() *settings.Snapshot { return snapshot }
	engine := &benchEngine{}
	mux := http.NewServeMux()
	Register(mux, Config{Settings: current, NewID: func() string { return "id" }, Relay: relay.New(relay.Config{
		Acquirer: engine, Budget: engine, Settings: current,
		Engines: func(string) backend.Engine { return engine },
	})})
	body := streamed(chatBody)
	var before, after runtime.MemStats
	b.ReportAllocs()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		mux.ServeHTTP(discardWriter{make(http.Header)}, httptest.NewRequest("POST", pathChat, strings.NewReader(body)))
	}
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N*benchTokens), "relay_allocs_per_token")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*benchTokens), "ns/token")
}
