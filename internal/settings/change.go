package settings

import (
	"fmt"
	"sort"

	"gentiantide.example/gentiantide/internal/core"
)

// maxAuthorBytes bounds the length of Change.Author.
const maxAuthorBytes = 128

// Change is an operator's change to one node of the settings tree.
type Change struct {
	Path string `json:"path"`
	// BaseVersion is the version of the node that the change is based on. 0
	// means that the node must not have been set before.
	BaseVersion uint64 `json:"base_version"`
	// Set holds the new values by key, checked and in canonical form.
	Set    Values   `json:"set,omitempty"`
	Unset  []string `json:"unset,omitempty"`
	Delete bool     `json:"delete,omitempty"`
	Author string   `json:"author"`
}

// Apply returns a new tree with the change applied; the receiver is unchanged.
// It refuses the change with CodeInvalidRequest, CodeNotFound, or CodeConflict,
// whose message names the node's current version if BaseVersion is not current.
func (t *Tree) Apply(c Change) (*Tree, *core.Refusal) {
	if refusal := t.checkBaseVersion(c); refusal != nil {
		return nil, refusal
	}
	if refusal := checkChange(c); refusal != nil {
		return nil, refusal
	}
	if refusal := t.checkAgainstTree(c); refusal != nil {
		return nil, refusal
	}
	version := t.version + 1
	var node *Node
	if !c.Delete {
		node = newNode(version, t.mergedValues(c))
	}
	next := t.replace(version, c.Path, node)
	if refusal := next.crossCheck(c.Path); refusal != nil {
		return nil, refusal
	}
	return next, nil
}

// checkBaseVersion checks that the change is based on the node's current version.
func (t *Tree) checkBaseVersion(c Change) *core.Refusal {
	if _, err := PathKind(c.Path); err != nil {
		return core.Refuse(core.CodeInvalidRequest, err.Error())
	}
	current, exists := t.Node(c.Path)
	switch {
	case !exists && c.BaseVersion != 0:
		return core.Refuse(core.CodeConflict, fmt.Sprintf("%s does not exist or was deleted; the change is based on version %d, the current version is 0", c.Path, c.BaseVersion))
	case !exists && c.Delete:
		return core.Refuse(core.CodeNotFound, c.Path+" cannot be deleted: it does not exist")
	case exists && current.Version != c.BaseVersion:
		return core.Refuse(core.CodeConflict, fmt.Sprintf("%s was changed in the meantime: the change is based on version %d, the current version is %d", c.Path, c.BaseVersion, current.Version))
	}
	return nil
}

// checkChange checks a change without regard to the tree.
func checkChange(c Change) *core.Refusal {
	if c.Delete && (len(c.Set) > 0 || len(c.Unset) > 0) {
		return core.Refuse(core.CodeInvalidRequest, "a change that deletes a node cannot also set or unset keys")
	}
	if len(c.Author) > maxAuthorBytes {
		return core.Refuse(core.CodeInvalidRequest, fmt.Sprintf("author is too long; expected at most %d bytes", maxAuthorBytes))
	}
	if err := checkValues(c.Path, c.Set); err != nil {
		return core.Refuse(core.CodeInvalidRequest, err.Error())
	}
	for _, key := range c.Unset {
		if _, both := c.Set[key]; both {
			return core.Refuse(core.CodeInvalidRequest, fmt.Sprintf("key %q is both set and unset", key))
		}
	}
	return nil
}

// checkAgainstTree checks that the parent of a changed node exists, that a
// deleted node has no children, and that unset keys are set at the node itself.
func (t *Tree) checkAgainstTree(c Change) *core.Refusal {
	if c.Delete {
		if isFixed(c.Path) {
			return core.Refuse(core.CodeInvalidRequest, c.Path+" is a fixed node and cannot be deleted; unset its keys instead")
		}
		if t.hasChildren(c.Path) {
			return core.Refuse(core.CodeConflict, c.Path+" has child nodes; delete them first")
		}
		return nil
	}
	if parent := parentOf(c.Path); !isFixed(parent) {
		if _, ok := t.Node(parent); !ok {
			return core.Refuse(core.CodeConflict, fmt.Sprintf("parent node %s of %s does not exist; create it first", parent, c.Path))
		}
	}
	current, _ := t.Node(c.Path)
	for _, key := range c.Unset {
		if current == nil || current.Values[key] == nil {
			return core.Refuse(core.CodeInvalidRequest, fmt.Sprintf("%s does not set key %q itself, so the key cannot be unset there", c.Path, key))
		}
	}
	return nil
}

// mergedValues returns the node's own values with the change applied.
func (t *Tree) mergedValues(c Change) Values {
	values := make(Values)
	if current, ok := t.Node(c.Path); ok {
		values = current.Values.clone()
	}
	for key, raw := range c.Set {
		values[key] = raw
	}
	for _, key := range c.Unset {
		delete(values, key)
	}
	return values
}

// sortedPaths returns the paths of matching nodes. They are sorted so that
// messages do not depend on map iteration order.
func (t *Tree) sortedPaths(match func(path string, n *Node) bool) []string {
	var out []string
	for path, n := range t.nodes {
		if match(path, n) {
			out = append(out, path)
		}
	}
	sort.Strings(out)
	return out
}
