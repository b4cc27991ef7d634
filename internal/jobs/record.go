package jobs

import "time"

// Record is the row of a job.
type Record struct {
	ID    string `msgpack:"id"`
	Host  string `msgpack:"host"`
	Path  string `msgpack:"path"`
	State State  `msgpack:"state"`
	// Owner names the run of a node's process that executes the items.
	Owner string `msgpack:"owner"`
	// Object is the object with the items.
	Object string `msgpack:"object"`
	Total  int    `msgpack:"total"`
	// Tokens is the sum over all items.
	Tokens int64 `msgpack:"tokens"`
	// Accepted, Due and GiveUp are moments of the store's clock.
	Accepted time.Duration `msgpack:"accepted"`
	Due      time.Duration `msgpack:"due"`
	GiveUp   time.Duration `msgpack:"give_up"`
}

// Result is the row of one result.
type Result struct {
	Item  string    `msgpack:"i"`
	State ItemState `msgpack:"s"`
	Text  string    `msgpack:"t"`
	// Object holds the text if it is too long for a row.
	Object string `msgpack:"o,omitempty"`
}
