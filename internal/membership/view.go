package membership

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"gentiantide.example/gentiantide/internal/core"
)

// View is an immutable snapshot of the membership as one node sees it. Readers
// get the current one from Service.Current without a lock.
type View struct {
	self    core.NodeID
	members []Member // sorted by ID
	byID    map[core.NodeID]int
}

// NewView returns a view of the given members as the node self sees them. It
// copies members.
func NewView(self core.NodeID, members []Member) *View {
	v := &View{self: self, members: append([]Member(nil), members...), byID: make(map[core.NodeID]int)}
	sort.Slice(v.members, func(i, j int) bool { return v.members[i].ID < v.members[j].ID })
	for i, m := range v.members {
		v.byID[m.ID] = i
	}
	return v
}

// Self returns the ID of this node.
func (v *View) Self() core.NodeID { return v.self }

// Members returns all members, sorted by ID. The caller must not modify the slice.
func (v *View) Members() []Member { return v.members }

// Member returns the member with an ID, and whether there is one.
func (v *View) Member(id core.NodeID) (Member, bool) {
	i, ok := v.byID[id]
	if !ok {
		return Member{}, false
	}
	return v.members[i], true
}

// Live reports whether a node is live.
func (v *View) Live(id core.NodeID) bool {
	m, ok := v.Member(id)
	return ok && m.State == StateLive
}

// Owner returns the owner of a key: the live node of the data centre with the
// highest rendezvous weight for the key. If dc is empty, the live nodes of all
// data centres are considered. Nodes with the same view compute the same owner,
// and if a node leaves, only the keys that it owned get another owner.
func (v *View) Owner(key string, dc core.DataCentre) (core.NodeID, bool) {
	var best core.NodeID
	var bestWeight uint64
	found := false
	for i := range v.members {
		m := &v.members[i]
		if m.State != StateLive || (dc != "" && m.DataCentre != dc) {
			continue
		}
		weight := rendezvousWeight(string(m.ID), key)
		if !found || weight > bestWeight {
			best, bestWeight, found = m.ID, weight, true
		}
	}
	return best, found
}

// rendezvousWeight returns the rendezvous weight of a node for a key. It does not
// allocate.
func rendezvousWeight(node, key string) uint64 {
	h := xxhash.Sum64String(node) * 0x9E3779B97F4A7C15
	return mix64(h ^ xxhash.Sum64String(key))
}

// mix64 is the finaliser of SplitMix64, which spreads each input bit over all
// output bits.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 27
	x *= 0x94D049BB133111EB
	return x ^ x>>31
}
