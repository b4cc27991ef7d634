package engine

import "gentiantide.example/gentiantide/bench/standin/httpkit"

// Fault is the fault plan, the body of POST /fault.
type Fault struct {
	// Slowdown multiplies the step time. The load report shows the effect only
	// after its lag.
	Slowdown Factor `json:"slowdown,omitempty"`
	// Pause stops the batching loop. Requests are accepted but get no tokens.
	Pause bool `json:"pause,omitempty"`
	// Refuse is the probability that a request is refused with 503 and
	// X-Not-Run: true.
	Refuse httpkit.Probability `json:"refuse,omitempty"`
	// Poison makes requests whose prompt contains this text fail with 500.
	Poison string `json:"poison,omitempty"`
	// CutAfter is the number of tokens after which a stream is interrupted (0:
	// never), and CutShare the probability that this applies to a stream (0: it
	// applies to all).
	CutAfter int                 `json:"cut_after,omitempty"`
	CutShare httpkit.Probability `json:"cut_share,omitempty"`
	// Drop is the probability that a request's connection is closed without a
	// response before the request is queued.
	Drop httpkit.Probability `json:"drop,omitempty"`
	// DeferClose makes the engine ignore that a caller closed its connection, so
	// that only DELETE /v1/requests/{id} cancels a request.
	DeferClose bool `json:"defer_close,omitempty"`
	// NoLoad makes load reports and health checks fail with 503.
	NoLoad bool `json:"no_load,omitempty"`
	// Leaving makes the load report say that the engine is shutting down.
	Leaving bool `json:"leaving,omitempty"`
	// Crash ends the process. In a test, where Server.Exit is not set, the
	// engine instead loses all sequences and the prefix cache, and drops every
	// connection until a plan without Crash is set.
	Crash bool `json:"crash,omitempty"`
}
