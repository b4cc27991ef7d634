// Package backend defines the interfaces through which gentiantide uses the
// backend servers: model engines and plain services. Each has one adapter
// package below this one.
package backend
