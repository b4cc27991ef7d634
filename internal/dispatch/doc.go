// Package dispatch gives work a slot on a backend server: it chooses a replica
// and reserves a slot with the replica's owner node.
package dispatch
