// Package fleet reads the platform's list of VMs and keeps the last copy. A
// node that starts while the list is unavailable gets a copy from another node.
package fleet
