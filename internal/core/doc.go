// Package core defines the value types that all other packages share:
// identifiers, priority classes, refusals and secrets. It imports no other
// package of the project.
package core
