// Package httphead refuses heads of HTTP/1 responses that RFC 9112 does not allow and
// that net/http accepts.
package httphead
