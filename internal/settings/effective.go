package settings

import (
	"encoding/json"
	"slices"
)

// FromDefault is EffectiveValue.From for a value that no node sets.
const FromDefault = "default"

// EffectiveValue is the value of a key that applies at a node, and its source.
type EffectiveValue struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
	// From is the path of the node that sets the value, or "default".
	From string `json:"from"`
}

// Effective returns the effective values of all keys that the node at path may
// set, in schema order.
func (t *Tree) Effective(path string) []EffectiveValue {
	kind, err := PathKind(path)
	if err != nil {
		return nil
	}
	paths := pathAndAncestors(path)
	var out []EffectiveValue
	for i := range schema {
		if k := &schema[i]; slices.Contains(k.Levels, kind) && !(k.NotInherited && isFixed(path)) {
			out = append(out, t.valueWithSource(k, paths))
		}
	}
	return out
}

// valueWithSource returns a key's value from the first of the paths that sets
// it, or the default. paths are a node and its ancestors, the node first.
func (t *Tree) valueWithSource(k *Key, paths []string) EffectiveValue {
	if k.NotInherited {
		paths = paths[:1]
	}
	for _, path := range paths {
		if n, ok := t.nodes[path]; ok && n.Values[k.Name] != nil {
			return EffectiveValue{Key: k.Name, Value: n.Values[k.Name], From: path}
		}
	}
	return EffectiveValue{Key: k.Name, Value: json.RawMessage(k.Default), From: FromDefault}
}

// Explanation describes a node to operators: its own values, and the effective
// values with their sources.
type Explanation struct {
	Path            string           `json:"path"`
	Version         uint64           `json:"version"`
	Exists          bool             `json:"exists"`
	SettingsVersion uint64           `json:"settings_version"`
	Values          Values           `json:"values"`
	Effective       []EffectiveValue `json:"effective,omitempty"`
	// Children lists the paths of all descendants, sorted.
	Children []string `json:"children,omitempty"`
	// Confirmed is set if the table service confirmed that SettingsVersion is
	// the current version. Otherwise the data is what this node last loaded.
	Confirmed bool `json:"confirmed"`
}

// Explain describes the node at a path; the node need not exist.
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
