// Package httpfleet is the adapter to the platform's fleet list:
// GET /fleet returns a JSON array of infra.VM.
package httpfleet
