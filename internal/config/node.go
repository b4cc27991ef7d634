package config

import (
	"crypto/sha256"
	"log/slog"
	"time"

	"gentiantide.example/gentiantide/internal/config/strictjson"
	"gentiantide.example/gentiantide/internal/core"
)

// Node is the settings file of one node.
type Node struct {
	ID         core.NodeID
	DataCentre core.DataCentre
	Region     core.Region
	Listen     Listen
	Operators  Operators
	Platform   Platform
	// PeerSecrets are the secrets of peer_secret_file, one, or two while the
	// secret is rotated. Without any, peers are not authenticated.
	PeerSecrets []core.Secret
	// Seeds are peer addresses that are tried while the fleet list is away.
	Seeds    []string
	LogLevel slog.Level
	Timeouts Timeouts
	// Warnings are settings that are accepted but likely wrong.
	Warnings strictjson.Problems
}

// Listen has the addresses, IP and port, that the node listens on.
type Listen struct {
	Callers, Operators, Peers string
}

// Operators says who may use the operators' listener.
type Operators struct {
	// TokenDigests are the SHA-256 digests of the accepted tokens. Several are
	// in force while a token is rotated. Without any, the listener asks for no
	// token and must be bound to a loopback address.
	TokenDigests [][sha256.Size]byte
	// Open allows a listener without tokens on any address.
	Open bool
}

// Platform has the base URLs of the platform's services.
type Platform struct {
	Table, Objects, Weights, Fleet string
}

// Timeouts bound calls; all have defaults.
type Timeouts struct {
	// Connect bounds the set-up of a connection: 1s.
	Connect time.Duration
	// Table, Objects, Weights and Fleet bound one call to a service of the
	// platform: 2s, 5s, 5s and 2s.
	Table, Objects, Weights, Fleet time.Duration
	// StopGrace is how long the listener stays open after the health check
	// began to fail, so that the balancer notices first: 5s. Streams are
	// awaited without a limit.
	StopGrace time.Duration
}

// DefaultTimeouts returns the timeouts of a file that sets none.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		Connect: time.Second, Table: 2 * time.Second, Objects: 5 * time.Second,
		Weights: 5 * time.Second, Fleet: 2 * time.Second, StopGrace: 5 * time.Second,
	}
}
