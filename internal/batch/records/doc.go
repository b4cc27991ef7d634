// Package records defines the rows and objects of the batch path: their keys
// and their msgpack forms.
package records
