package settings

import (
	"fmt"

	"gentiantide.example/gentiantide/internal/core"
)

// ownServiceKeys need a kind at the same node.
var ownServiceKeys = []string{"model", "route", "route.non_idempotent"}

// crossCheck checks the node at path against the other nodes of the tree.
func (t *Tree) crossCheck(path string) *core.Refusal {
	n, ok := t.nodes[path]
	if !ok {
		return nil
	}
	if refusal := checkDeployment(path, n); refusal != nil {
		return refusal
	}
	return t.checkUnique(path, n)
}

// checkDeployment checks that the keys of a deployment fit its kind.
func checkDeployment(path string, n *Node) *core.Refusal {
	if !n.isDeployment() {
		for _, key := range ownServiceKeys {
			if n.Values[key] != nil {
				return core.Refuse(core.CodeInvalidRequest, fmt.Sprintf("%s sets %q but no kind; expected kind \"model\" or \"plain\" at the same node", path, key))
			}
		}
		return nil
	}
	need, not := "model", "route"
	if DeploymentKind(n.text("kind")) == KindPlain {
		need, not = "route", "model"
	}
	if n.Values[need] == nil {
		return core.Refuse(core.CodeInvalidRequest, fmt.Sprintf("%s has kind %q and needs %q", path, n.text("kind"), need))
	}
	if n.Values[not] != nil || need == "model" && n.Values["route.non_idempotent"] != nil {
		return core.Refuse(core.CodeInvalidRequest, fmt.Sprintf("%s has kind %q and cannot set %q or the keys below it", path, n.text("kind"), not))
	}
	return nil
}

// checkUnique checks that no other node has an identity of the node at path.
func (t *Tree) checkUnique(path string, n *Node) *core.Refusal {
	if len(n.identities) == 0 {
		return nil
	}
	own := make(map[string]bool, len(n.identities))
	for _, identity := range n.identities {
		own[identity] = true
	}
	for _, p := range t.sortedPaths(func(p string, other *Node) bool { return p != path && len(other.identities) > 0 }) {
		for _, identity := range t.nodes[p].identities {
			if own[identity] {
				return core.Refuse(core.CodeInvalidRequest, fmt.Sprintf("%s: %s is already that of %s", path, identity, p))
			}
		}
	}
	return nil
}
