package load

import (
	"time"

	"gentiantide.example/gentiantide/bench/client"
)

// Call is a client call with its scheduled arrival.
type Call struct {
	At   time.Duration // from the start of the run
	Kind string        // groups the samples
	client.Call
}
