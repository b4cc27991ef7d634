// Package plain is the stand-in of a plain service, the permit desk, with calls
// that must not be repeated. It records every execution, so that a test can see
// a permit that was issued twice.
package plain
