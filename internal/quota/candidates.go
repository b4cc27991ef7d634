package quota

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/nodes"
)

const (
	// minOwnerCPUShare is the least CPU share of an owner, as a fraction of that of the
	// largest node of its data centre. Smaller nodes are busy with their own requests.
	minOwnerCPUShare = 0.75
	// ownersPerDataCentre is how many nodes of a data centre may own an organisation.
	// With three, two may be lost at the same time.
	ownersPerDataCentre = 3
)

// candidates are the nodes that may own organisations. Nodes whose lease of the store has
// lapsed are among them: all nodes use the same ones while the store is away.
type candidates struct {
	view         *nodes.View
	byDataCentre map[core.DataCentre][]nodes.Record
	nodes        int
	// dataCentresKnown is the largest number of data centres that the directory has shown
	// since the process started. One that it shows no longer may be cut off, and goes on with
	// its part of the limits.
	dataCentresKnown int
	cache            sync.Map // map[ownersKey][]core.NodeID
}

type ownersKey struct {
	org        core.Org
	dataCentre core.DataCentre
}

// newCandidates returns the candidates of a view of the directory. There are none until
// the node knows others or itself is in the directory: it would take all of a limit.
func newCandidates(view *nodes.View, self nodes.Record) *candidates {
	c := &candidates{view: view, byDataCentre: make(map[core.DataCentre][]nodes.Record)}
	if view == nil || len(view.Alive)+len(view.Lapsed) == 0 {
		return c
	}
	seen := make(map[core.NodeID]bool)
	for _, r := range append(view.Records(), self) {
		if r.Address != "" && !seen[r.ID] {
			seen[r.ID] = true
			c.nodes++
			c.byDataCentre[r.DataCentre] = append(c.byDataCentre[r.DataCentre], r)
		}
	}
	for dataCentre, list := range c.byDataCentre {
		largest := 0.0
		for _, r := range list {
			largest = max(largest, r.CPUCores)
		}
		c.byDataCentre[dataCentre] = slices.DeleteFunc(list, func(r nodes.Record) bool {
			return r.CPUCores < minOwnerCPUShare*largest
		})
	}
	c.dataCentresKnown = len(c.byDataCentre)
	return c
}

// owners returns the nodes of a data centre that may own an organisation, in the order in
// which they are asked, by rendezvous hashing. The caller must not modify the slice.
func (c *candidates) owners(org core.Org, dataCentre core.DataCentre) []core.NodeID {
	key := ownersKey{org, dataCentre}
	if cached, ok := c.cache.Load(key); ok {
		return cached.([]core.NodeID)
	}
	type scored struct {
		id    core.NodeID
		score uint64
	}
	ranked := make([]scored, 0, len(c.byDataCentre[dataCentre]))
	for _, r := range c.byDataCentre[dataCentre] {
		ranked = append(ranked, scored{r.ID, xxhash.Sum64String("quota|" + string(org) + "|" + string(r.ID))})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	out := make([]core.NodeID, 0, ownersPerDataCentre)
	for _, r := range ranked[:min(len(ranked), ownersPerDataCentre)] {
		out = append(out, r.id)
	}
	c.cache.Store(key, out)
	return out
}

// dataCentres returns the names of the data centres.
func (c *candidates) dataCentres() []core.DataCentre {
	out := make([]core.DataCentre, 0, len(c.byDataCentre))
	for dataCentre := range c.byDataCentre {
		out = append(out, dataCentre)
	}
	slices.Sort(out)
	return out
}

// known reports whether a node may own organisations.
func (c *candidates) known(id core.NodeID) bool {
	for _, list := range c.byDataCentre {
		if slices.ContainsFunc(list, func(r nodes.Record) bool { return r.ID == id }) {
			return true
		}
	}
	return false
}

// some returns a node of this data centre other than self, and one of each other one if
// all is set. They are others each time.
func (c *candidates) some(self nodes.Record, all bool) []core.NodeID {
	var out []core.NodeID
	for dataCentre, list := range c.byDataCentre {
		if dataCentre != self.DataCentre && !all {
			continue
		}
		first := rand.IntN(len(list))
		for i := range list {
			if id := list[(first+i)%len(list)].ID; id != self.ID {
				out = append(out, id)
				break
			}
		}
	}
	return out
}
