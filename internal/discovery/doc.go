// Package discovery updates the replica registry from the table in which the
// replicas register.
package discovery
