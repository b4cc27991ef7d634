// Package meter measures CPU time and memory, and counts calls to the table
// service and the object store and bytes sent over HTTP.
package meter
