// Package operators serves the operators' HTTP API: settings, drain, fleet
// list, state dump, metrics, version and health check. All bodies below /admin/
// are JSON, except the metrics.
package operators
