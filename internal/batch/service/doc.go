// Package service wires the parts of batch processing on one node together: intake,
// coordinator, worker and the HTTP routes.
package service
