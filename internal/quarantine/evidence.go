package quarantine

import (
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/core"
)

// evidence is what nodes know of crashes and of what has proved harmless, in the store
// and in messages. Parts and runs are indices, as crashes have many parts in common.
type evidence struct {
	Parts []Part `msgpack:"p"`
	// Harmless are the parts with which a run has proved harmless at some time.
	Harmless []int           `msgpack:"h,omitempty"`
	Crashes  []crashEvidence `msgpack:"c"`
}

// crashEvidence is one crash. At is a time of the store's clock; in messages it is
// relative to the time of the message.
type crashEvidence struct {
	Service core.DeploymentID `msgpack:"s"`
	Replica core.ReplicaID    `msgpack:"r"`
	Started int64             `msgpack:"i,omitempty"`
	Silent  bool              `msgpack:"l,omitempty"`
	At      time.Duration     `msgpack:"a"`
	Runs    [][]int           `msgpack:"u"`
	Cleared []int             `msgpack:"k,omitempty"`
}

var errEvidenceIndex = errors.New("evidence names a part that it does not list")

// check reports whether the evidence is consistent.
func (e *evidence) check() error {
	lists := [][]int{e.Harmless}
	for i := range e.Crashes {
		lists = append(append(lists, e.Crashes[i].Cleared), e.Crashes[i].Runs...)
	}
	for _, list := range lists {
		for _, i := range list {
			if i < 0 || i >= len(e.Parts) {
				return errEvidenceIndex
			}
		}
	}
	return nil
}

// named returns the parts with some indices.
func (e *evidence) named(indices []int) []Part {
	out := make([]Part, len(indices))
	for i, index := range indices {
		out[i] = e.Parts[index]
	}
	return out
}

// partIndex numbers the parts of evidence.
type partIndex struct {
	evidence *evidence
	known    map[Part]int
}

func (x *partIndex) of(parts []Part) []int {
	out := make([]int, len(parts))
	for i, part := range parts {
		index, ok := x.known[part]
		if !ok {
			index = len(x.evidence.Parts)
			x.known[part] = index
			x.evidence.Parts = append(x.evidence.Parts, part)
		}
		out[i] = index
	}
	return out
}
