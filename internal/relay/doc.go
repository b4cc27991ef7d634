// Package relay sends requests to backend servers. A request is a generation or a
// call of a plain service. The relay acquires a slot, sends the request, and
// retries, resumes or hedges it within a retry budget.
//
// The caller receives each token once and in order, or an explicit refusal. A
// refusal states that the request did not run only if no backend server can have
// run it.
package relay
