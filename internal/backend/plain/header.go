package plain

import (
	"net/http"

	"gentiantide.example/gentiantide/internal/httphead"
)

// hopByHopHeaders lists the headers that apply to a single connection (RFC 9110,
// section 7.6.1), and Content-Length, which is derived from the body.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEndHeaders returns a copy without hop-by-hop headers, including those
// that the Connection header names.
func endToEndHeaders(header http.Header) http.Header {
	out := header.Clone()
	for _, name := range httphead.ConnectionOptions(header) {
		out.Del(name)
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
