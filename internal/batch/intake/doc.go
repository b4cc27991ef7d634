// Package intake accepts input files and jobs.
//
// A file is validated line by line during the upload and split into parts; one part
// is held in memory. Custom ids must be unique within a part. Uniqueness within the
// whole file is not checked, since this would need the ids of up to 610,000 items
// in memory. Results with equal custom ids from different parts can be distinguished
// by the id of the result line.
package intake
