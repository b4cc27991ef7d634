// Package replicatest has faults of replicas for tests.
package replicatest
