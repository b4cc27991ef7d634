package weights

import "gentiantide.example/gentiantide/bench/standin/httpkit"

// Fault is the fault plan, the body of POST /fault.
type Fault struct {
	// Down rejects every call with 503 and interrupts running streams.
	Down bool `json:"down,omitempty"`
	// Delay is added to every call.
	Delay httpkit.Duration `json:"delay,omitempty"`
	// CutAfter is the number of bytes after which streams are interrupted (0:
	// never).
	CutAfter int64 `json:"cut_after,omitempty"`
}
