package settings

import (
	"bytes"
	"encoding/json"
	"slices"
)

// Effect is an effective value of a deployment, an organisation or a backend
// server that a change alters. Before is null if the entity is created, After
// is null if it is deleted.
type Effect struct {
	Path   string          `json:"path"`
	Key    string          `json:"key"`
	Before json.RawMessage `json:"before"`
	After  json.RawMessage `json:"after"`
}

// Effects returns the differences between the effective values of all entities
// of two trees, sorted by path and then in schema order.
func Effects(before, after *Tree) []Effect {
	paths := append(before.entities(), after.entities()...)
	slices.Sort(paths)
	var out []Effect
	for _, path := range slices.Compact(paths) {
		out = append(out, compareEntity(path, before, after)...)
	}
	return out
}

func compareEntity(path string, before, after *Tree) []Effect {
	old, current := before.entityValues(path), after.entityValues(path)
	var out []Effect
	for i := range schema {
		key := schema[i].Name
		if !bytes.Equal(old[key], current[key]) {
			out = append(out, Effect{Path: path, Key: key, Before: old[key], After: current[key]})
		}
	}
	return out
}

// entities returns the paths of all deployments, organisations and backend
// servers. It adds "/organisations", whose values apply to organisations
// without a node, and the root, which has keys that no other node may set.
func (t *Tree) entities() []string {
	out := []string{RootPath, OrganisationsPath}
	return append(out, t.sortedPaths(func(path string, n *Node) bool {
		return !isFixed(path) && t.isEntity(path, n)
	})...)
}

// isEntity reports whether a node describes an organisation, a backend server or
// a deployment, and not a group of deployments.
func (t *Tree) isEntity(path string, n *Node) bool {
	kind, err := PathKind(path)
	return err == nil && (kind != NodeService || n.isDeployment())
}

// entityValues returns the effective values of the entity at path, or none if
// it does not exist. For the root these are the keys that only it may set.
func (t *Tree) entityValues(path string) Values {
	out := make(Values)
	n, ok := t.Node(path)
	if !ok || path != RootPath && !t.isEntity(path, n) {
		return out
	}
	for _, e := range t.Effective(path) {
		if path != RootPath || len(schemaByName[e.Key].Levels) == 1 {
			out[e.Key] = e.Value
		}
	}
	return out
}
