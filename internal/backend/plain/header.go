package plain

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that concern one connection only (RFC 9110,
// section 7.6.1), and Content-Length, which follows from the body.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// endToEnd returns a copy without the headers of the connection.
func endToEnd(header http.Header) http.Header {
	out := header.Clone()
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
