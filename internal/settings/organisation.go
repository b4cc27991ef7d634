package settings

import "gentiantide.example/gentiantide/internal/core"

// Organisation holds the effective settings of one organisation of callers. It is
// immutable.
type Organisation struct {
	ID core.Org
	// Weight is the organisation's weight in fair sharing, 1 or more.
	Weight int
	// KeySHA256 lists the hex SHA-256 digests of the organisation's API keys.
	KeySHA256 []string
	// MaxInFlight bounds the organisation's online requests at one node;
	// 0 means no bound.
	MaxInFlight int
}
