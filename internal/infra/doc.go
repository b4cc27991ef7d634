// Package infra defines the interfaces through which gentiantide uses the
// platform: the table service, the object store, the weight store and the
// fleet list. Each has one adapter package below this one; another wire form
// needs another adapter and nothing else.
package infra
