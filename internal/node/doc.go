// Package node wires the roles of one gentiantided process and runs them from
// start to graceful stop.
package node
