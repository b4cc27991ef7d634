// Package discovery keeps the registry of replicas up to date from the table in
// which they register.
package discovery
