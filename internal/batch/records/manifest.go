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

// Manifest is the row of an uploaded file, or of an upload that is not accepted
// yet.
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
	// Open is set before the first part is written and until the file is
	// accepted, so that the parts of an abandoned upload are found.
	Open bool `msgpack:"open,omitempty"`
	// Jobs is the number of rows of jobs that use the file. It changes in the
	// transactions that write and delete those rows.
	Jobs int `msgpack:"jobs,omitempty"`
	// Touched is the time of the last use: the begin of the upload, its
	// acceptance, a resend of it, or the acceptance of a job for the file.
	Touched time.Time `msgpack:"touched"`
	// Expired is set once the file may not be used any more: its parts and then
	// its row are being deleted.
	Expired bool `msgpack:"expired,omitempty"`
}
