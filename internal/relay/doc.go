// Package relay runs one generation or one call of a plain service: it takes a
// slot, sends the work, and retries, resumes or hedges it within one budget.
//
// The caller sees each token once and in order, or an explicit refusal. A
// refusal says that the work did not run only if no backend server can have
// run it.
package relay
