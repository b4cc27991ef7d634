package records

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// URLUse is a URL that occurs in a file and the number of the first line with it.
type URLUse struct {
	URL  string `msgpack:"url"`
	Line int    `msgpack:"line"`
}

// Manifest is the row of an accepted file or of an upload in progress.
type Manifest struct {
	ID       core.FileID `msgpack:"id"`
	Org      core.Org    `msgpack:"org"`
	Name     string      `msgpack:"name"`
	Purpose  string      `msgpack:"purpose"`
	Prefix   string      `msgpack:"prefix"` // key prefix of the part objects
	Bytes    int64       `msgpack:"bytes"`
	Items    int         `msgpack:"items"`
	Ranges   int         `msgpack:"ranges"`
	Digest   string      `msgpack:"digest"` // hex SHA-256 of the content
	URLs     []URLUse    `msgpack:"urls"`
	Uploaded time.Time   `msgpack:"uploaded"`
	// Pending is set from before the first part is written until the file is
	// accepted, so that the parts of an abandoned upload can be found.
	Pending bool `msgpack:"open,omitempty"`
	// JobCount is the number of job rows that refer to the file. It is updated in the
	// transactions that create and delete those rows.
	JobCount int `msgpack:"jobs,omitempty"`
	// LastUsed is the time of the last use: the start of the upload, its
	// acceptance, a repeated upload, or the acceptance of a job for the file.
	LastUsed time.Time `msgpack:"touched"`
	// Expired is set when the retention period has ended: the file may no longer
	// be used, and its parts and then its row are being deleted.
	Expired bool `msgpack:"expired,omitempty"`
}
