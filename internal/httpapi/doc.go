// Package httpapi holds what the HTTP APIs share: the form of errors and the
// authentication of callers.
package httpapi
