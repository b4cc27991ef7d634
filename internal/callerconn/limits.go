package callerconn

import (
	"time"

	"gentiantide.example/gentiantide/internal/routetable"
)

const (
	// DefaultHeaderTimeout, DefaultHeaderBytes and DefaultIdleTimeout apply while
	// the operator's configuration sets no limit.
	DefaultHeaderTimeout = 5 * time.Second
	DefaultHeaderBytes   = 64 << 10
	DefaultIdleTimeout   = 60 * time.Second
	// headSlack is how much longer than the limit a head may be: the HTTP server reads
	// up to so many bytes at once, which may hold a part of the body.
	headSlack = 4 << 10
)

// limits are the operator's limits that apply to connections.
type limits struct {
	headerBytes   int
	headerTimeout time.Duration
	idleTimeout   time.Duration
}

func newLimits(l routetable.Limits) limits {
	return limits{
		headerBytes:   orDefault(l.HeaderBytes, DefaultHeaderBytes),
		headerTimeout: orDefault(l.HeaderTimeout, DefaultHeaderTimeout),
		idleTimeout:   orDefault(l.IdleTimeout, DefaultIdleTimeout),
	}
}

func orDefault[T time.Duration | int](value, otherwise T) T {
	if value > 0 {
		return value
	}
	return otherwise
}
