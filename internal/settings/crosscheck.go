package settings

import (
	"fmt"

	"gentiantide.example/gentiantide/internal/core"
)

// deploymentKeys may be set only at a node that also sets "kind".
var deploymentKeys = []string{"model", "route", "route.non_idempotent"}

// crossCheck checks that the keys of the node at path fit together and that its
// unique values are not used by another node.
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

// checkDeployment checks that a deployment sets the keys that its kind requires
// and none that it excludes, and that other nodes set no deployment keys.
func checkDeployment(path string, n *Node) *core.Refusal {
	if !n.isDeployment() {
		for _, key := range deploymentKeys {
			if n.Values[key] != nil {
				return core.Refuse(core.CodeInvalidRequest, fmt.Sprintf("%s sets key %q but not \"kind\"; expected kind \"model\" or \"plain\" at the same node", path, key))
			}
		}
		return nil
	}
	required, forbidden := "model", "route"
	if DeploymentKind(n.text("kind")) == KindPlain {
		required, forbidden = "route", "model"
	}
	if n.Values[required] == nil {
		return core.Refuse(core.CodeInvalidRequest, fmt.Sprintf("%s has kind %q and must set %q", path, n.text("kind"), required))
	}
	if n.Values[forbidden] != nil || required == "model" && n.Values["route.non_idempotent"] != nil {
		return core.Refuse(core.CodeInvalidRequest, fmt.Sprintf("%s has kind %q and cannot set %q or keys that begin with it", path, n.text("kind"), forbidden))
	}
	return nil
}

// checkUnique checks that no other node has one of the node's unique values.
func (t *Tree) checkUnique(path string, n *Node) *core.Refusal {
	if len(n.uniqueValues) == 0 {
		return nil
	}
	own := make(map[string]bool, len(n.uniqueValues))
	for _, unique := range n.uniqueValues {
		own[unique] = true
	}
	for _, p := range t.sortedPaths(func(p string, other *Node) bool { return p != path && len(other.uniqueValues) > 0 }) {
		for _, unique := range t.nodes[p].uniqueValues {
			if own[unique] {
				return core.Refuse(core.CodeInvalidRequest, fmt.Sprintf("%s: %s is already used by %s", path, unique, p))
			}
		}
	}
	return nil
}
