package streamversion

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Origin is what is known of the beginning of a stream.
type Origin struct {
	Version core.SoftwareVersion
	Source  Source
	// Age is how long ago the stream began, or 0 if that is not known.
	Age time.Duration
}
