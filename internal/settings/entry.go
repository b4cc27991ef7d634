package settings

import (
	"time"

	"github.com/pkg/errors"
)

// Entry is one accepted change in the log. It carries the node as it is after
// the change, so that applying it needs no other row.
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
	// ChangeID is random. The writer finds its own change by it when the
	// answer to the write was lost.
	ChangeID string `msgpack:"i" json:"change_id"`
	// Sum is the tree's checksum after the change.
	Sum uint64 `msgpack:"c" json:"-"`
}

// errDiverged means that an entry does not lead to the tree it was made for.
var errDiverged = errors.New("settings: the tree does not have the checksum of the log entry")

// follow applies the entry of the next version. Entries come from table rows
// and from peers; each is applied and checked like an operator's change, and
// the checksum tells whether it led to the same tree.
func (t *Tree) follow(e Entry) (*Tree, error) {
	if e.Version != t.version+1 {
		return nil, errors.Errorf("settings: log entry %d does not follow version %d", e.Version, t.version)
	}
	next, refusal := t.Apply(Change{Path: e.Path, BaseVersion: e.BaseVersion, Set: e.Set, Unset: e.Unset, Delete: e.Deleted, Author: e.Author})
	if refusal != nil {
		return nil, errors.Wrapf(refusal, "settings: log entry %d", e.Version)
	}
	if next.sum != e.Sum {
		return nil, errDiverged
	}
	return next, nil
}

// size estimates the encoded size in bytes.
func (e *Entry) size() int {
	return 256 + len(e.Path) + len(e.Author) + e.Set.size() + e.Values.size() + 32*len(e.Unset)
}

func (v Values) size() int {
	total := 0
	for key, raw := range v {
		total += 16 + len(key) + len(raw)
	}
	return total
}
