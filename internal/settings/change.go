package settings

import (
	"fmt"
	"sort"

	"gentiantide.example/gentiantide/internal/core"
)

// maxAuthor bounds the bytes of an author.
const maxAuthor = 128

// Change is what an operator wants of one node.
type Change struct {
	Path string `json:"path"`
	// BaseVersion is the version of the node that the change is based on; 0
	// requires that the node was never set.
	BaseVersion uint64 `json:"base_version"`
	// Set has canonical values that passed the checks.
	Set    Values   `json:"set,omitempty"`
	Unset  []string `json:"unset,omitempty"`
	Delete bool     `json:"delete,omitempty"`
	Author string   `json:"author"`
}

// Apply returns the tree after the change, or a refusal: CodeInvalidRequest,
// CodeNotFound, or CodeConflict with the node's current version. The receiver
// is not changed.
func (t *Tree) Apply(c Change) (*Tree, *core.Refusal) {
	if refusal := t.checkBase(c); refusal != nil {
		return nil, refusal
	}
	if refusal := checkChange(c); refusal != nil {
		return nil, refusal
	}
	if refusal := t.checkPlace(c); refusal != nil {
		return nil, refusal
	}
	version := t.version + 1
	var node *Node
	if !c.Delete {
		node = newNode(version, t.merged(c))
	}
	next := t.replace(version, c.Path, node)
	if refusal := next.crossCheck(c.Path); refusal != nil {
		return nil, refusal
	}
	return next, nil
}

func (t *Tree) checkBase(c Change) *core.Refusal {
	if _, err := PathKind(c.Path); err != nil {
		return core.Refuse(core.CodeInvalidRequest, err.Error())
	}
	current, exists := t.Node(c.Path)
	switch {
	case !exists && c.BaseVersion != 0:
		return core.Refuse(core.CodeConflict, fmt.Sprintf("%s does not exist (any more); the change is based on version %d, the current version is 0", c.Path, c.BaseVersion))
	case !exists && c.Delete:
		return core.Refuse(core.CodeNotFound, c.Path+" does not exist")
	case exists && current.Version != c.BaseVersion:
		return core.Refuse(core.CodeConflict, fmt.Sprintf("%s was changed: the change is based on version %d, the current version is %d", c.Path, c.BaseVersion, current.Version))
	}
	return nil
}

func checkChange(c Change) *core.Refusal {
	if c.Delete && (len(c.Set) > 0 || len(c.Unset) > 0) {
		return core.Refuse(core.CodeInvalidRequest, "a change that deletes a node neither sets nor unsets keys")
	}
	if len(c.Author) > maxAuthor {
		return core.Refuse(core.CodeInvalidRequest, fmt.Sprintf("the author is too long; expected at most %d bytes", maxAuthor))
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

// checkPlace checks a change against the nodes around it.
func (t *Tree) checkPlace(c Change) *core.Refusal {
	if c.Delete {
		if isFixed(c.Path) {
			return core.Refuse(core.CodeInvalidRequest, c.Path+" always exists and cannot be deleted; unset its keys")
		}
		if t.hasChildren(c.Path) {
			return core.Refuse(core.CodeConflict, c.Path+" has nodes below it and cannot be deleted before them")
		}
		return nil
	}
	if parent := parentOf(c.Path); !isFixed(parent) {
		if _, ok := t.Node(parent); !ok {
			return core.Refuse(core.CodeConflict, fmt.Sprintf("the parent %s of %s does not exist; set it first", parent, c.Path))
		}
	}
	current, _ := t.Node(c.Path)
	for _, key := range c.Unset {
		if current == nil || current.Values[key] == nil {
			return core.Refuse(core.CodeInvalidRequest, fmt.Sprintf("%s does not set %q itself, so it cannot be unset there", c.Path, key))
		}
	}
	return nil
}

func (t *Tree) merged(c Change) Values {
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

// sortedPaths returns the paths of nodes that fit, sorted, so that messages
// do not depend on the order of a map.
func (t *Tree) sortedPaths(fits func(path string, n *Node) bool) []string {
	var out []string
	for path, n := range t.nodes {
		if fits(path, n) {
			out = append(out, path)
		}
	}
	sort.Strings(out)
	return out
}
