// Package platformnode assembles and runs the node process for the users'
// platform. The node serves callers, executes batch jobs and stops gracefully.
// All durable state is in the platform's store.
package platformnode
