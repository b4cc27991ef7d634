// Package openai implements backend.Engine for model engines that serve the
// OpenAI HTTP API with server-sent events and these extensions:
//
//   - each chunk contains one token and its index, "token_index";
//   - a request may contain "resume_from" (the number of tokens already
//     generated) and "generated" (their text);
//   - the request ID is sent in X-Request-Id, and the response identifies the
//     engine's run of the request in X-Engine-Run;
//   - DELETE /v1/requests/{id}?run={run} cancels that run of the request only;
//   - GET /v1/load returns a backend.Load;
//   - POST /v1/orders takes a backend.Order and returns status 409 if its
//     fencing number is old;
//   - X-Not-Run: true marks the response to a request that did not run.
package openai
