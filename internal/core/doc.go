// Package core holds the small typed values that the other packages share:
// identifiers, work classes and refusals. It imports nothing of the project.
package core
