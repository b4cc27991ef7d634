// Package store retries calls to the table service and the object store until
// their outcome is known.
package store
