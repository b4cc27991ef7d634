// Package forward serves callers' requests by passing them to replicas: it reads
// a request whole, finds its route, chooses replicas, repeats what may be
// repeated and resumes streams that may be resumed.
package forward
