package replica

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// ConnectResult is the result of an attempt to connect to a replica.
type ConnectResult int

const (
	// Failed says nothing about the replica.
	Failed ConnectResult = iota
	Open
	// Refused is the answer of a machine on which no process listens.
	Refused
	// Silent is no answer at all, as from a machine without power or behind a cut.
	Silent
)

// Connect opens a connection to the replica, which goes to the pool.
func (r *Replica) Connect(ctx context.Context) ConnectResult {
	c, err := dial(ctx, r.Info().Address)
	var timeout net.Error
	switch {
	case err == nil:
		r.pool.put(c, time.Now())
		return Open
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, syscall.EHOSTUNREACH):
		return Silent
	default:
		return Failed
	}
}

// LastHeard returns when this node last received a part of a response, or the zero time.
func (r *Replica) LastHeard() time.Time {
	at, _ := r.lastRead.Get()
	return at
}
