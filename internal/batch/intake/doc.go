// Package intake accepts files and jobs.
//
// A file is checked line by line while it streams in and is cut into parts;
// memory use is one part. Custom ids must be unique within a part. Uniqueness
// over the whole file is not checked, since that would need all ids of up to
// 610,000 items in memory; results of equal ids in different parts are told
// apart by the id of their result line.
package intake
