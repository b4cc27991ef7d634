// Package entry wires the node that runs on the users' platform: it serves
// callers, executes batch jobs and stops gracefully. All state that must last
// lies in the platform's store.
package entry
