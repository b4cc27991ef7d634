// Package records defines the table rows of batch processing, with their keys
// and msgpack encodings, and the keys of its objects.
package records
