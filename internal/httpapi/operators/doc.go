// Package operators serves the operators' HTTP API: settings, drain, fleet,
// state dump, metrics and version. All bodies are JSON but the metrics.
package operators
