// Package roles measures the slopes of each role of a node against the numbers
// of the design's table.
package roles
