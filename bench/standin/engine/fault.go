package engine

import "gentiantide.example/gentiantide/bench/standin/httpkit"

// Fault is what POST /fault commands.
type Fault struct {
	// Slowdown multiplies the step time. The load report shows the effect only
	// after its lag.
	Slowdown Factor `json:"slowdown,omitempty"`
	// Pause stops all steps; requests are accepted and get no tokens.
	Pause bool `json:"pause,omitempty"`
	// Refuse is the share of requests that are refused with 503 and
	// X-Not-Run: true.
	Refuse httpkit.Share `json:"refuse,omitempty"`
	// Poison fails requests whose prompt contains this text with 500.
	Poison string `json:"poison,omitempty"`
	// CutAfter breaks streams after this number of tokens (0: never), and
	// CutShare is the share of streams that it applies to (0: all).
	CutAfter int           `json:"cut_after,omitempty"`
	CutShare httpkit.Share `json:"cut_share,omitempty"`
	// Drop is the share of requests whose connection is closed without an
	// answer before they are queued.
	Drop httpkit.Share `json:"drop,omitempty"`
	// DeferClose makes the engine overlook that a caller closed its
	// connection; only DELETE /v1/requests/{id} cancels.
	DeferClose bool `json:"defer_close,omitempty"`
	// NoLoad answers load reports and health checks with 503.
	NoLoad bool `json:"no_load,omitempty"`
	// Leaving sets the mark in the load report.
	Leaving bool `json:"leaving,omitempty"`
	// Crash ends the process, or in a test drops every connection until the
	// next plan, which starts an empty engine.
	Crash bool `json:"crash,omitempty"`
}
