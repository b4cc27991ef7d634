// Package naive is the simplest proxy that could stand in the place of
// gentiantide, for comparison: round robin over the backend servers, first in
// first out, no classes, and no retries except after a failed connection. Its
// batch runner sends the items of a job with a fixed concurrency on the same
// way as online calls.
package naive
