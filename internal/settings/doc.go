// Package settings implements the operators' settings tree: its schema and
// validation, inheritance, storage in the table service, distribution to all
// daemons and an immutable snapshot that is read without locks.
//
// Paths: "/" is the root; "/services/..." holds groups and deployments;
// "/organisations/..." holds callers; "/fleet/<backend server>" holds the
// settings of one backend server. Each node inherits from its parent.
//
// A change is one transaction that writes the changed node, a log entry and the
// head row with the new version and checksum. Daemons learn of it from the
// daemon that wrote it, from heartbeats and by polling the head row. They then
// read the missing log entries, or the full tree, from a peer or the table
// service.
//
// Two things are called a node: a Node of this tree, and a daemon (core.NodeID)
// in the code of Manager.
package settings
