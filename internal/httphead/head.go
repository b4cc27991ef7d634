package httphead

import (
	"net/http"
	"slices"
	"strings"
)

// Head is the head of a response.
type Head struct {
	// Minor is the minor version of HTTP/1.
	Minor  int
	Status int
	Header http.Header
}

// Interim reports whether another response to the same request follows.
func (h *Head) Interim() bool { return h.Status < http.StatusOK }

// KeepsAlive reports whether the connection may be used again after a response whose
// body does not end with it.
func (h *Head) KeepsAlive() bool {
	if h.Minor == 0 {
		return h.hasConnectionOption("keep-alive") && !h.hasConnectionOption("close")
	}
	return !h.hasConnectionOption("close")
}

func (h *Head) hasConnectionOption(option string) bool {
	return slices.ContainsFunc(ConnectionOptions(h.Header), func(listed string) bool { return strings.EqualFold(listed, option) })
}

// ConnectionOptions returns what the Connection header lists: options, and the names of
// headers that apply to the connection only.
func ConnectionOptions(header http.Header) []string {
	var options []string
	for _, list := range header["Connection"] {
		for option := range strings.SplitSeq(list, ",") {
			options = append(options, strings.TrimSpace(option))
		}
	}
	return options
}
