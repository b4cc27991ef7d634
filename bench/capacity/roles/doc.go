// Package roles measures how the cost of each role of a node grows with the
// quantities in the design's capacity table, such as nodes, replicas and items.
package roles
