package env

import (
	"fmt"
	"maps"
	"time"

	"gentiantide.example/gentiantide/bench/client"
	"gentiantide.example/gentiantide/bench/measure/load"
	"gentiantide.example/gentiantide/bench/workload"
)

// CallSpec describes streamed online calls.
type CallSpec struct {
	System System
	// Kind is the kind of the samples. It is part of the prompts, so that calls of
	// different kinds have no prompt in common.
	Kind      string
	Arrivals  []time.Duration
	MaxTokens int // 0 keeps the max_tokens of the workload
	Header    map[string]string
	// Bases, if not empty, replaces the base URLs of the system.
	Bases []string
}

// Calls builds calls with the shape's online workload, spread round-robin over the
// base URLs of the system.
func (e *Env) Calls(spec CallSpec) ([]load.Call, error) {
	bodies, err := workload.Bodies(e.Shape.Online)
	if err != nil {
		return nil, err
	}
	bases := spec.Bases
	if len(bases) == 0 {
		bases = e.Bases(spec.System)
	}
	calls := make([]load.Call, len(spec.Arrivals))
	for i, at := range spec.Arrivals {
		calls[i] = load.Call{At: at, Kind: spec.Kind, Call: client.Call{
			Base: bases[i%len(bases)], Path: workload.Path(e.Shape.Online), Org: "counter",
			Header: spec.Header, Stream: true,
			Body: e.body(bodies[i%len(bodies)], spec, i),
		}}
	}
	return calls, nil
}

func (e *Env) body(base map[string]any, spec CallSpec, i int) map[string]any {
	body := maps.Clone(base)
	body["model"] = e.Shape.Model
	if spec.MaxTokens > 0 {
		body["max_tokens"] = spec.MaxTokens
	}
	workload.AppendPrompt(body, fmt.Sprintf(" [%s %d]", spec.Kind, i))
	return body
}
