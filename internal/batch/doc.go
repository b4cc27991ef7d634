// Package batch defines the types that the packages of batch processing share:
// the configuration, the items of a job, and the interface that executes them.
//
// The packages below it are
//
//   - intake: accepts input files and jobs
//   - coordinator: offers the ranges of open jobs to workers and ends jobs
//   - worker: claims ranges, executes their items and commits the results
//   - ranges: decides what a worker or coordinator does next with a range
//   - lease: maintains the node's lease and observes those of other nodes
//   - records: defines the table rows and their keys, and the object keys
//   - store: retries calls to the table service and the object store
//   - results: encodes result lines and reads committed results
//   - batchhttp: serves the HTTP API
//   - service: wires these packages together
package batch
