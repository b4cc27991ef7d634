// Package memaccount accounts for the memory that a process holds for others, such as
// the bodies of requests, and decides which incomplete body ends when it is short.
package memaccount
