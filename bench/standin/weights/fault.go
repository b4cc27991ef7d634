package weights

import "gentiantide.example/gentiantide/bench/standin/httpkit"

// Fault is what POST /fault commands.
type Fault struct {
	// Down refuses every call with 503 and breaks running streams.
	Down bool `json:"down,omitempty"`
	// Delay is added to every call.
	Delay httpkit.Duration `json:"delay,omitempty"`
	// CutAfter breaks streams after this number of bytes (0: never).
	CutAfter int64 `json:"cut_after,omitempty"`
}
