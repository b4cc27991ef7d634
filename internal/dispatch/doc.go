// Package dispatch acquires slots on backend servers for work: it chooses a
// replica and reserves a slot with the node that owns the replica.
package dispatch
