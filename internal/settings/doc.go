// Package settings holds the operators' settings tree: its schema and checks,
// inheritance, the store in the table service and the snapshot that each node
// reads without locks.
//
// Paths: "/" is the root; "/services/..." holds groups and deployments;
// "/organisations/..." holds callers; "/fleet/<backend server>" holds what
// operators say of one backend server. Each node inherits from its parent.
package settings
