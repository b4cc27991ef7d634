// Package httphead reads the heads of HTTP/1 responses and refuses those that RFC 9112
// does not allow. The reader of net/http accepts many of them: status 000, blanks in
// field names, folded lines, chunks in a response of HTTP/1.0.
package httphead
