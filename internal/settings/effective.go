package settings

import (
	"encoding/json"
	"slices"
)

// FromDefault is the source of a value that no node sets.
const FromDefault = "default"

// EffectiveValue is a value in force at a node and where it comes from.
type EffectiveValue struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	// From is the path of the node that sets the value, or "default".
	From string `json:"from"`
}

// Effective returns the values in force at a path in the order of the schema:
// the keys that the node may set, and for the root those of all levels.
func (t *Tree) Effective(path string) []EffectiveValue {
	kind, err := PathKind(path)
	if err != nil {
		return nil
	}
	line := lineage(path)
	var out []EffectiveValue
	for i := range schema {
		if k := &schema[i]; slices.Contains(k.Levels, kind) && !(k.Own && isFixed(path)) {
			out = append(out, t.effective(k, line))
		}
	}
	return out
}

// effective looks a key up along the line from a node to the root.
func (t *Tree) effective(k *Key, line []string) EffectiveValue {
	if k.Own {
		line = line[:1]
	}
	for _, path := range line {
		if n, ok := t.nodes[path]; ok && n.Values[k.Name] != nil {
			return EffectiveValue{Key: k.Name, Value: n.Values[k.Name], From: path}
		}
	}
	return EffectiveValue{Key: k.Name, Value: json.RawMessage(k.Default), From: FromDefault}
}

// Explanation is a node as operators see it.
type Explanation struct {
	Path            string           `json:"path"`
	Version         uint64           `json:"version"`
	Exists          bool             `json:"exists"`
	SettingsVersion uint64           `json:"settings_version"`
	Values          Values           `json:"values"`
	Effective       []EffectiveValue `json:"effective,omitempty"`
	// Children lists the paths of the nodes below, sorted.
	Children []string `json:"children,omitempty"`
	// Confirmed is set if the table service confirmed that the version is the
	// current one; otherwise the answer is what this node knows.
	Confirmed bool `json:"confirmed"`
}

// Explain describes the node at a path, which need not exist.
func (t *Tree) Explain(path string) Explanation {
	out := Explanation{Path: path, SettingsVersion: t.version, Values: Values{}, Effective: t.Effective(path)}
	if n, ok := t.Node(path); ok {
		out.Exists, out.Version, out.Values = true, n.Version, n.Values.clone()
	}
	prefix := path + "/"
	if path == RootPath {
		prefix = path
	}
	out.Children = t.sortedPaths(func(p string, _ *Node) bool {
		return p != path && len(p) > len(prefix) && p[:len(prefix)] == prefix
	})
	return out
}
