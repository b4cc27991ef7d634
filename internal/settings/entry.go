package settings

import (
	"time"

	"github.com/pkg/errors"
)

// Entry is the log entry of one accepted change. It includes the node's values
// after the change, so that it can be applied without reading the node row.
type Entry struct {
	Version uint64 `msgpack:"v" json:"version"`
	Path    string `msgpack:"p" json:"path"`
	// BaseVersion is the node's version before the change.
	BaseVersion uint64    `msgpack:"b" json:"base_version"`
	Set         Values    `msgpack:"s,omitempty" json:"set,omitempty"`
	Unset       []string  `msgpack:"u,omitempty" json:"unset,omitempty"`
	Deleted     bool      `msgpack:"d,omitempty" json:"delete,omitempty"`
	Values      Values    `msgpack:"n,omitempty" json:"values,omitempty"`
	Author      string    `msgpack:"a" json:"author"`
	Time        time.Time `msgpack:"t" json:"time"`
	// ChangeID is random. It lets the writer recognise its own change in the
	// log when the response to the write was lost.
	ChangeID string `msgpack:"i" json:"change_id"`
	// Sum is the checksum of the tree after the change.
	Sum uint64 `msgpack:"c" json:"-"`
}

// errChecksumMismatch means that a tree does not have the checksum that the
// head row, the log entry or the peer states for its version.
var errChecksumMismatch = errors.New("settings: tree checksum mismatch")

// applyEntry returns the tree after a log entry, whose version must be the next
// one. Entries come from table rows and from peers, so each is checked like an
// operator's change, and the resulting tree must have the entry's checksum.
func (t *Tree) applyEntry(e Entry) (*Tree, error) {
	if e.Version != t.version+1 {
		return nil, errors.Errorf("settings: log entry %d cannot be applied to tree version %d", e.Version, t.version)
	}
	next, refusal := t.Apply(Change{Path: e.Path, BaseVersion: e.BaseVersion, Set: e.Set, Unset: e.Unset, Delete: e.Deleted, Author: e.Author})
	if refusal != nil {
		return nil, errors.Wrapf(refusal, "settings: apply log entry %d", e.Version)
	}
	if next.sum != e.Sum {
		return nil, errChecksumMismatch
	}
	return next, nil
}

// size estimates the encoded size of the entry in bytes.
func (e *Entry) size() int {
	return 256 + len(e.Path) + len(e.Author) + e.Set.size() + e.Values.size() + 32*len(e.Unset)
}

// size estimates the encoded size of the values in bytes.
func (v Values) size() int {
	total := 0
	for key, raw := range v {
		total += 16 + len(key) + len(raw)
	}
	return total
}
