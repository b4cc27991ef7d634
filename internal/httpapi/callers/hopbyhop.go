package callers

import (
	"net/http"
	"strings"
)

// hopHeaders belong to one connection and are not passed on (RFC 9110, 7.6.1).
// The length is set anew for each connection.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// endToEnd returns a copy of the headers that are passed on.
func endToEnd(header http.Header) http.Header {
	out := header.Clone()
	if out == nil {
		out = make(http.Header)
	}
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}
