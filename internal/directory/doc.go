// Package directory keeps the list of backend servers: their addresses, state,
// slots and load. The owner of a replica polls it and tells the other nodes.
package directory
