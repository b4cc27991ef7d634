// Package callers serves the callers' HTTP API except the batch endpoints:
// generations in the format of the OpenAI API, complete or streamed as server-sent
// events; plain services, selected by route; the model list; and health checks.
package callers
