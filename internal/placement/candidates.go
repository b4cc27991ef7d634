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

// sharedHubs is the number of data centres from which all nodes take the hubs of a
// group. With three, two data centres may be lost at the same time.
const sharedHubs = 3

// hubCandidates is a snapshot of the nodes in the directory. It includes nodes
// whose lease has lapsed: a node that is cut off only from the store stays a
// hub, so that all nodes use the same one. Whether such a node is alive is found
// out by calling it.
type hubCandidates struct {
	records     []nodes.Record
	self        nodes.Record
	hubsByGroup sync.Map // map[group][]core.NodeID, filled on first use
	// holderByReplica is a map[core.ReplicaID]core.NodeID, filled on first use.
	holderByReplica sync.Map
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
// ones are the highest ranked nodes of different data centres, so that all nodes
// that reach each other agree on one hub when a node fails or a data centre is cut
// off. The last is the highest ranked node of this node's data centre. The caller
// must not modify the slice.
func (c *hubCandidates) hubs(g group) []core.NodeID {
	if cached, ok := c.hubsByGroup.Load(g); ok {
		return cached.([]core.NodeID)
	}
	var out []core.NodeID
	add := func(ranked []*nodes.Record) bool {
		if len(ranked) == 0 {
			return false
		}
		if id := ranked[0].ID; !slices.Contains(out, id) {
			out = append(out, id)
		}
		return true
	}
	used := make(map[core.DataCentre]bool)
	for len(out) < sharedHubs {
		best := c.ranked(g, func(r *nodes.Record) bool { return !used[r.DataCentre] })
		if !add(best) {
			break
		}
		used[best[0].DataCentre] = true
	}
	if len(used) == 1 {
		add(c.ranked(g, func(r *nodes.Record) bool { return r.ID != out[0] }))
	}
	add(c.ranked(g, func(r *nodes.Record) bool { return r.DataCentre == c.self.DataCentre }))
	c.hubsByGroup.Store(g, out)
	return out
}

// ranked returns the sufficiently large nodes among the allowed ones, ordered
// by rendezvous hashing.
func (c *hubCandidates) ranked(g group, allowed func(*nodes.Record) bool) []*nodes.Record {
	type scored struct {
		record *nodes.Record
		score  uint64
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
			found = append(found, scored{r, xxhash.Sum64String(key + "|" + string(r.ID))})
		}
	}
	slices.SortFunc(found, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.record.ID, b.record.ID))
	})
	out := make([]*nodes.Record, len(found))
	for i := range found {
		out[i] = found[i].record
	}
	return out
}
