package quarantine

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/wire"
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

func (c *crashEvidence) key() processKey { return processKey{c.Replica, c.Started} }

var errEvidenceIndex = errors.New("evidence names a part that it does not list")

// decodeEvidence returns encoded evidence, or none with an error.
func decodeEvidence(data []byte) (*evidence, error) {
	out := &evidence{}
	err := wire.Unmarshal(data, out)
	if err == nil {
		err = out.check()
	}
	if err != nil {
		return &evidence{}, err
	}
	return out, nil
}

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

// addsTo reports whether suspicions differ from those in the store: by one, by a run of one,
// or by a later silence.
func (e *evidence) addsTo(known *evidence) bool {
	stored := make(map[processKey]*crashEvidence, len(known.Crashes))
	for i := range known.Crashes {
		stored[known.Crashes[i].key()] = &known.Crashes[i]
	}
	return len(e.Crashes) != len(stored) || slices.ContainsFunc(e.Crashes, func(c crashEvidence) bool {
		old := stored[c.key()]
		return old == nil || len(c.Runs) > len(old.Runs) || c.At-old.At > darkTime
	})
}

// partIndex numbers the parts of evidence.
type partIndex struct {
	evidence *evidence
	known    map[Part]int
}

// newPartIndex returns the index of evidence that names no part yet.
func newPartIndex(e *evidence) *partIndex {
	return &partIndex{evidence: e, known: make(map[Part]int)}
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

// ofCrash returns a crash, with a time, as evidence.
func (x *partIndex) ofCrash(c countedCrash, at time.Duration) crashEvidence {
	out := crashEvidence{Service: c.service, Replica: c.replica, Started: c.started, Silent: c.silent, At: at, Cleared: x.of(c.cleared)}
	for _, run := range c.runs {
		out.Runs = append(out.Runs, x.of(run))
	}
	return out
}
