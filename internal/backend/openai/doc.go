// Package openai is the adapter to model engines that speak the OpenAI HTTP
// API with server-sent events, and these extensions:
//
//   - each chunk carries one token and its index, "token_index";
//   - a request may carry "resume_from" (number of tokens) and "generated"
//     (their text);
//   - the request id travels in X-Request-Id; DELETE /v1/requests/{id} cancels,
//     limited by ?run= to the run that the answer named in X-Engine-Run;
//   - GET /v1/load answers a backend.Load; POST /v1/orders takes a
//     backend.Order and answers 409 if it is fenced;
//   - X-Not-Run: true marks an answer to a request that did not run.
package openai
