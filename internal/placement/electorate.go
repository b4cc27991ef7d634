package placement

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
)

// hubShare is the part of the largest node's processor share from which a node
// may be a hub. Small nodes are busy with their own requests.
const hubShare = 0.75

// electorate is the nodes as of one reading of the directory. It includes those
// whose lease ran out: a node that is cut off from the store only goes on as a
// hub, so that all nodes keep to the same one. Whether it lives is found out by
// asking it.
type electorate struct {
	records []nodes.Record
	self    nodes.Record
	ranks   sync.Map // of a group: its hubs, []core.NodeID
}

func newElectorate(view *nodes.View, self nodes.Record) *electorate {
	e := &electorate{self: self}
	for _, list := range []map[string]nodes.Record{view.Alive, view.Lapsed} {
		for _, record := range list {
			if record.Address != "" {
				e.records = append(e.records, record)
			}
		}
	}
	return e
}

// hubs returns the nodes to ask about a group, the first one first: the two
// that lead by rendezvous hashing, so that all nodes agree also when one is
// lost, and the leader of the own data centre, which is reached when the others
// are cut off.
// The slice is not to be changed.
func (e *electorate) hubs(g group) []core.NodeID {
	if known, ok := e.ranks.Load(g); ok {
		return known.([]core.NodeID)
	}
	all := e.ranked(g, func(*nodes.Record) bool { return true })
	near := e.ranked(g, func(r *nodes.Record) bool { return r.DataCentre == e.self.DataCentre })
	var out []core.NodeID
	for _, id := range append(all[:min(2, len(all))], near[:min(1, len(near))]...) {
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	e.ranks.Store(g, out)
	return out
}

// ranked returns the large nodes among those allowed, by rendezvous hashing.
func (e *electorate) ranked(g group, allowed func(*nodes.Record) bool) []core.NodeID {
	type candidate struct {
		id    core.NodeID
		score uint64
	}
	largest, key := 0.0, g.name()
	for i := range e.records {
		if r := &e.records[i]; allowed(r) {
			largest = max(largest, r.Processor)
		}
	}
	var found []candidate
	for i := range e.records {
		if r := &e.records[i]; allowed(r) && r.Processor >= hubShare*largest {
			found = append(found, candidate{r.ID, xxhash.Sum64String(key + "|" + string(r.ID))})
		}
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	out := make([]core.NodeID, len(found))
	for i := range found {
		out[i] = found[i].id
	}
	return out
}
