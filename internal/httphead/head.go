package httphead

import (
	"net/http"
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
	for _, list := range h.Header["Connection"] {
		for value := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(value), option) {
				return true
			}
		}
	}
	return false
}
