package settings

import (
	"maps"
	"slices"
	"strings"
)

// Tree holds all nodes of the settings tree at one version. It is immutable; a
// change makes a new one.
type Tree struct {
	version uint64
	// sum is the XOR of the checksums of all nodes. The head row, log entries and
	// peers' messages include it, so that a tree built from stale or incomplete
	// reads is detected.
	sum   uint64
	nodes map[string]*Node
}

// NewTree returns a tree at version 0 that has only the fixed nodes.
func NewTree() *Tree { return &Tree{nodes: make(map[string]*Node)} }

// Version returns the tree's version. Each accepted change increments it by one.
func (t *Tree) Version() uint64 { return t.version }

// Node returns the node at a path; a fixed node always exists.
func (t *Tree) Node(path string) (*Node, bool) {
	if n, ok := t.nodes[path]; ok {
		return n, true
	}
	if isFixed(path) {
		return &Node{}, true
	}
	return nil, false
}

// Paths returns the sorted paths of all nodes that were set.
func (t *Tree) Paths() []string { return slices.Sorted(maps.Keys(t.nodes)) }

// replace returns a copy of the tree at the given version in which the node at
// path is n. A nil n removes the node.
func (t *Tree) replace(version uint64, path string, n *Node) *Tree {
	out := &Tree{version: version, sum: t.sum, nodes: maps.Clone(t.nodes)}
	out.put(path, n)
	return out
}

// put sets the node at path, or removes it if n is nil, and updates the checksum.
// It modifies the tree, which must not be shared yet.
func (t *Tree) put(path string, n *Node) {
	if old, ok := t.nodes[path]; ok {
		t.sum ^= old.sum(path)
		delete(t.nodes, path)
	}
	if n != nil {
		t.nodes[path] = n
		t.sum ^= n.sum(path)
	}
}

// hasChildren reports whether a node has nodes below it.
func (t *Tree) hasChildren(path string) bool {
	for p := range t.nodes {
		if strings.HasPrefix(p, path+"/") {
			return true
		}
	}
	return false
}

// isDeployment reports whether the node is a deployment, that is, sets "kind"
// itself.
func (n *Node) isDeployment() bool {
	_, ok := n.Values["kind"]
	return ok
}
