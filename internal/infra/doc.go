// Package infra defines the interfaces through which gentiantide uses the
// platform: the table service, the object store, the weight store and the
// fleet list. Each of these has one HTTP adapter in a subpackage. Supporting
// another protocol requires only another adapter.
package infra
