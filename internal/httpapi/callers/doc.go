// Package callers serves the callers' HTTP API except the batch endpoints:
// generations in the form of OpenAI's API, whole or as server-sent events,
// plain services by route, the list of models and the health checks.
package callers
