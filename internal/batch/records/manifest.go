package records

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// URLUse is a URL that occurs in a file and the first line with it.
type URLUse struct {
	URL  string `msgpack:"url"`
	Line int    `msgpack:"line"`
}

// Manifest describes an uploaded file. It is written after all parts.
type Manifest struct {
	ID       core.FileID `msgpack:"id"`
	Org      core.Org    `msgpack:"org"`
	Name     string      `msgpack:"name"`
	Purpose  string      `msgpack:"purpose"`
	Prefix   string      `msgpack:"prefix"` // of the part objects
	Bytes    int64       `msgpack:"bytes"`
	Items    int         `msgpack:"items"`
	Ranges   int         `msgpack:"ranges"`
	Digest   string      `msgpack:"digest"` // hex SHA-256 of the content
	URLs     []URLUse    `msgpack:"urls"`
	Uploaded time.Time   `msgpack:"uploaded"`
}
