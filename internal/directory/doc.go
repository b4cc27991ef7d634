// Package directory maintains the list of backend servers with their addresses,
// states, slots and loads. Each replica (one backend server of a deployment) has an
// owner node, which polls it and publishes its status to the other nodes.
package directory
