// Package fleet polls the platform's list of VMs and caches it. A node that
// starts while the list is unavailable copies it from another node.
package fleet
