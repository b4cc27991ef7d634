// Package plain is the stand-in for a plain service, the permit desk, whose calls
// are not idempotent. It counts the executions of each permit, so that a test
// detects a permit that was issued twice.
package plain
