package settings

import "github.com/pkg/errors"

// nodeImage is a node in a table row or in a peer's message.
type nodeImage struct {
	Path    string `msgpack:"p"`
	Version uint64 `msgpack:"v"`
	Values  Values `msgpack:"n"`
}

func (n *nodeImage) size() int { return 64 + len(n.Path) + n.Values.size() }

// newTree builds a tree of unchecked nodes.
func newTree(version uint64, nodes []nodeImage) *Tree {
	t := NewTree()
	t.version = version
	for _, n := range nodes {
		t.put(n.Path, newNode(n.Version, n.Values.clone()))
	}
	return t
}

// check checks a tree that came from the table or from a peer.
func (t *Tree) check(sum uint64) error {
	if t.sum != sum {
		return errDiverged
	}
	for path, n := range t.nodes {
		if n.Version == 0 || n.Version > t.version {
			return errors.Errorf("settings: %s has version %d in a tree of version %d", path, n.Version, t.version)
		}
		if err := checkValues(path, n.Values); err != nil {
			return err
		}
		if parent := parentOf(path); !isFixed(parent) && t.nodes[parent] == nil {
			return errors.Errorf("settings: %s has no parent", path)
		}
	}
	return t.checkIdentities()
}

// checkIdentities is crossCheck of all nodes in one pass.
func (t *Tree) checkIdentities() error {
	seen := make(map[string]string)
	for path, n := range t.nodes {
		if refusal := checkDeployment(path, n); refusal != nil {
			return refusal
		}
		for _, identity := range n.identities {
			if other, ok := seen[identity]; ok {
				return errors.Errorf("settings: %s and %s share %s", path, other, identity)
			}
			seen[identity] = path
		}
	}
	return nil
}
