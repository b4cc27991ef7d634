// Package workload has a small set of requests in the shape of the two users'
// work and builds online requests and batch files from it.
package workload
