package callers

import (
	"net/http"

	"gentiantide.example/gentiantide/internal/httphead"
)

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110,
// section 7.6.1). Content-Length is set anew for each connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEndHeaders returns a copy of the headers that are forwarded.
func endToEndHeaders(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, name := range httphead.ConnectionOptions(header) {
		out.Del(name)
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
