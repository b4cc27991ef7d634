// Package node creates and connects the components of a gentiantided process and
// runs them from start to graceful shutdown.
package node
