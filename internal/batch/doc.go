// Package batch defines what the parts of the batch path share: the timings,
// the items of a job, and the interface through which items are executed.
//
// Packages below it: records (rows and object names), store (retries and
// read-back), lease, ranges (decisions about ranges), intake (files and job
// acceptance), coordinator, worker, results, batchhttp and service (wiring).
package batch
