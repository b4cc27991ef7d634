package jobs

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Record is the content of a job row.
type Record struct {
	ID   string `msgpack:"id"`
	Host string `msgpack:"host"`
	// Org is the organisation that submitted the job. It is empty if the configuration
	// named none, or if the route is public and the caller had no key.
	Org   core.Org `msgpack:"org,omitempty"`
	Path  string   `msgpack:"path"`
	State State    `msgpack:"state"`
	// Owner identifies the node process that executes the items; see
	// nodes.Record.Owner.
	Owner string `msgpack:"owner"`
	// Object is the name of the object that holds the items.
	Object string `msgpack:"object"`
	// Config is the version of the configuration that the accepting node had. A node
	// with an older one cannot tell whether the job's route is gone. Rows written
	// before the field existed have 0.
	Config int64 `msgpack:"config,omitempty"`
	Total  int   `msgpack:"total"`
	// Tokens is the total tokens of all items.
	Tokens int64 `msgpack:"tokens"`
	// Accepted, Due and AbandonAt are times of the store's clock: when the job was
	// accepted, by when its results are due, and when unfinished items are
	// abandoned.
	Accepted  time.Duration `msgpack:"accepted"`
	Due       time.Duration `msgpack:"due"`
	AbandonAt time.Duration `msgpack:"give_up"`
}

// Result is the content of a result row.
type Result struct {
	Item  string    `msgpack:"i"`
	State ItemState `msgpack:"s"`
	Text  string    `msgpack:"t"`
	// Object names the object that holds the text if it is too long for a row.
	Object string `msgpack:"o,omitempty"`
}
