// Package httpapi holds what the HTTP APIs share: the format of error responses,
// request IDs and the authentication of callers.
package httpapi
