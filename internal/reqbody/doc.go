// Package reqbody reads the bodies of requests within the memory that a process has for
// its callers.
package reqbody
