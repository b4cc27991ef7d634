// Package naive is the baseline for comparisons with gentiantide: a simple proxy
// with round robin over the backend servers, first in first out, without classes
// and without retries except after a failed connection. Its batch runner sends the
// items of a job at a fixed concurrency and in the same way as online calls.
package naive
