// Package configcheck checks an operator's configuration before it is sent: errors, entries
// that can never match, limits that contradict each other, and what differs from another
// version. It depends only on its inputs.
package configcheck
