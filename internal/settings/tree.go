package settings

import (
	"maps"
	"slices"
	"strings"
)

// Tree is all nodes at one version. It is immutable; a change makes a new one.
type Tree struct {
	version uint64
	// sum is the exclusive or of all nodes' checksums. It travels with head,
	// log entries and peers' messages, so that a tree put together from stale
	// or incomplete reads is noticed.
	sum   uint64
	nodes map[string]*Node
}

// NewTree returns the tree without any node but the fixed ones, at version 0.
func NewTree() *Tree { return &Tree{nodes: make(map[string]*Node)} }

// Version returns the version; each accepted change raises it by one.
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

// Paths returns the paths of all nodes that were set, sorted.
func (t *Tree) Paths() []string { return slices.Sorted(maps.Keys(t.nodes)) }

// replace returns a tree of a version in which the node at path is n, or is
// absent if n is nil.
func (t *Tree) replace(version uint64, path string, n *Node) *Tree {
	out := &Tree{version: version, sum: t.sum, nodes: maps.Clone(t.nodes)}
	out.put(path, n)
	return out
}

// put changes a tree that is not shared yet.
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

// isDeployment reports whether the node is a deployment: it has its own kind.
func (n *Node) isDeployment() bool {
	_, ok := n.Values["kind"]
	return ok
}
