package settings

import "github.com/pkg/errors"

// nodeRecord is the encoded form of a node in a table row or a peer's message.
type nodeRecord struct {
	Path    string `msgpack:"p"`
	Version uint64 `msgpack:"v"`
	Values  Values `msgpack:"n"`
}

// size estimates the encoded size of the record in bytes.
func (n *nodeRecord) size() int { return 64 + len(n.Path) + n.Values.size() }

// buildTree builds a tree from nodes without checking them.
func buildTree(version uint64, nodes []nodeRecord) *Tree {
	t := NewTree()
	t.version = version
	for _, n := range nodes {
		t.put(n.Path, newNode(n.Version, n.Values.clone()))
	}
	return t
}

// check validates a tree that was read from the table service or a peer: its
// checksum, and each node's version, values and parent.
func (t *Tree) check(sum uint64) error {
	if t.sum != sum {
		return errChecksumMismatch
	}
	for path, n := range t.nodes {
		if n.Version == 0 || n.Version > t.version {
			return errors.Errorf("settings: node %s has invalid version %d in a tree of version %d", path, n.Version, t.version)
		}
		if err := checkValues(path, n.Values); err != nil {
			return err
		}
		if parent := parentOf(path); !isFixed(parent) && t.nodes[parent] == nil {
			return errors.Errorf("settings: node %s has no parent node", path)
		}
	}
	return t.crossCheckAll()
}

// crossCheckAll runs the checks of crossCheck on all nodes in one pass.
func (t *Tree) crossCheckAll() error {
	seen := make(map[string]string)
	for path, n := range t.nodes {
		if refusal := checkDeployment(path, n); refusal != nil {
			return refusal
		}
		for _, unique := range n.uniqueValues {
			if other, ok := seen[unique]; ok {
				return errors.Errorf("settings: nodes %s and %s both have %s", path, other, unique)
			}
			seen[unique] = path
		}
	}
	return nil
}
