package placement

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
)

// minHubCPUShare is the least CPU share of a hub, as a fraction of that of the
// largest node. Smaller nodes are busy with their own requests.
const minHubCPUShare = 0.75

// hubCandidates is a snapshot of the nodes in the directory. It includes nodes
// whose lease has lapsed: a node that is cut off only from the store stays a
// hub, so that all nodes use the same one. Whether such a node is alive is found
// out by calling it.
type hubCandidates struct {
	records     []nodes.Record
	self        nodes.Record
	hubsByGroup sync.Map // map[group][]core.NodeID, filled on first use
}

func newHubCandidates(view *nodes.View, self nodes.Record) *hubCandidates {
	c := &hubCandidates{self: self}
	for _, list := range []map[string]nodes.Record{view.Alive, view.Lapsed} {
		for _, record := range list {
			if record.Address != "" {
				c.records = append(c.records, record)
			}
		}
	}
	return c
}

// hubs returns the hubs of a group in the order in which to ask them. The first
// two are the highest ranked nodes by rendezvous hashing, so that all nodes
// agree even when one fails. The third is the highest ranked node of this node's
// data centre, which stays reachable when the data centre is cut off from the
// others. The caller must not modify the slice.
func (c *hubCandidates) hubs(g group) []core.NodeID {
	if cached, ok := c.hubsByGroup.Load(g); ok {
		return cached.([]core.NodeID)
	}
	all := c.ranked(g, func(*nodes.Record) bool { return true })
	local := c.ranked(g, func(r *nodes.Record) bool { return r.DataCentre == c.self.DataCentre })
	var out []core.NodeID
	for _, id := range append(all[:min(2, len(all))], local[:min(1, len(local))]...) {
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	c.hubsByGroup.Store(g, out)
	return out
}

// ranked returns the sufficiently large nodes among the allowed ones, ordered
// by rendezvous hashing.
func (c *hubCandidates) ranked(g group, allowed func(*nodes.Record) bool) []core.NodeID {
	type scored struct {
		id    core.NodeID
		score uint64
	}
	largest, key := 0.0, g.key()
	for i := range c.records {
		if r := &c.records[i]; allowed(r) {
			largest = max(largest, r.CPUCores)
		}
	}
	var found []scored
	for i := range c.records {
		if r := &c.records[i]; allowed(r) && r.CPUCores >= minHubCPUShare*largest {
			found = append(found, scored{r.ID, xxhash.Sum64String(key + "|" + string(r.ID))})
		}
	}
	slices.SortFunc(found, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	out := make([]core.NodeID, len(found))
	for i := range found {
		out[i] = found[i].id
	}
	return out
}
