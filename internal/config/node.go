package config

import (
	"crypto/sha256"
	"log/slog"
	"time"

	"gentiantide.example/gentiantide/internal/config/strictjson"
	"gentiantide.example/gentiantide/internal/core"
)

// Node holds the settings of one node.
type Node struct {
	ID         core.NodeID
	DataCentre core.DataCentre
	Region     core.Region
	Listen     Listen
	Operators  Operators
	Platform   Platform
	// PeerSecrets are the secrets in peer_secret_file: one, or two while the
	// secret is rotated. If there are none, peers are not authenticated.
	PeerSecrets []core.Secret
	// Seeds are peer addresses that the node contacts while the fleet list is
	// unavailable.
	Seeds    []string
	LogLevel slog.Level
	// MemoryBytes is the memory of the VM; 0 if the file does not say. The file has it
	// in MiB.
	MemoryBytes int64
	Timeouts    Timeouts
	// Warnings describe settings that are accepted but likely wrong.
	Warnings strictjson.Problems
}

// Listen holds the listen addresses of the node, each with an IP address and a
// port.
type Listen struct {
	Callers, Operators, Peers string
}

// Operators controls the access to the operators' listener.
type Operators struct {
	// TokenDigests are the SHA-256 digests of the accepted tokens; several tokens
	// are valid while a token is rotated. If there are none, the listener requires
	// no token and must be bound to a loopback address, unless Open is set.
	TokenDigests [][sha256.Size]byte
	// Open allows a listener that requires no token on any address.
	Open bool
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	Table, Objects, Weights, Fleet string
}

// Timeouts holds the timeouts of calls and of the stop. All have defaults.
type Timeouts struct {
	// Connect bounds the establishment of a connection. Default: 1s.
	Connect time.Duration
	// Table, Objects, Weights and Fleet bound one call to a service of the
	// platform. Defaults: 2s, 5s, 5s and 2s.
	Table, Objects, Weights, Fleet time.Duration
	// StopGrace is how long the listener stays open after the health check has
	// started to fail, so that the load balancer can remove the node first.
	// Streams in progress are awaited without a limit. Default: 5s.
	StopGrace time.Duration
}

// DefaultTimeouts returns the timeouts of a settings file that sets none.
func DefaultTimeouts() Timeouts {
	return Timeouts{
		Connect: time.Second, Table: 2 * time.Second, Objects: 5 * time.Second,
		Weights: 5 * time.Second, Fleet: 2 * time.Second, StopGrace: 5 * time.Second,
	}
}
