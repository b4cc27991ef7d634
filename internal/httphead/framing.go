package httphead

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// Framing says how the end of a body is found.
type Framing uint8

const (
	// FramingNone is that of a response without a body.
	FramingNone Framing = iota
	// FramingLength is a body of a length that the head names.
	FramingLength
	// FramingChunks is a body in chunks.
	FramingChunks
	// FramingClose is a body that ends with its connection.
	FramingClose
)

var (
	errInterimBody   = errors.New("interim response has a body")
	errTwoFramings   = errors.New("response has a Content-Length and a Transfer-Encoding")
	errOldChunks     = errors.New("response of HTTP/1.0 has a Transfer-Encoding")
	errOtherEncoding = errors.New("response has a Transfer-Encoding other than chunked")
)

// Framing returns the framing of the body of the response to a request with a method,
// and the length that the head names, or -1 (RFC 9112, section 6.3).
func (h *Head) Framing(method string) (framing Framing, length int64, err error) {
	length, err = h.contentLength()
	if err != nil {
		return 0, 0, err
	}
	chunks, err := h.chunked()
	switch {
	case err != nil:
		return 0, 0, err
	case chunks && length >= 0:
		return 0, 0, errTwoFramings
	case h.Interim() && (chunks || length > 0):
		return 0, 0, errInterimBody
	case method == http.MethodHead:
		return FramingNone, length, nil
	case h.Interim() || h.Status == http.StatusNoContent || h.Status == http.StatusNotModified:
		return FramingNone, 0, nil
	case chunks:
		return FramingChunks, -1, nil
	case length >= 0:
		return FramingLength, length, nil
	default:
		return FramingClose, -1, nil
	}
}

// contentLength returns the length that the head names, or -1. Several fields must name
// the same one.
func (h *Head) contentLength() (int64, error) {
	values := h.Header["Content-Length"]
	if len(values) == 0 {
		return -1, nil
	}
	for _, value := range values {
		if value != values[0] {
			return 0, fmt.Errorf("response has the lengths %q and %q", values[0], value)
		}
	}
	length, err := strconv.ParseUint(values[0], 10, 63)
	if err != nil {
		return 0, fmt.Errorf("malformed Content-Length %q", values[0])
	}
	return int64(length), nil
}

// chunked reports whether the body is in chunks.
func (h *Head) chunked() (bool, error) {
	values, ok := h.Header["Transfer-Encoding"]
	switch {
	case !ok:
		return false, nil
	case h.Minor == 0:
		return false, errOldChunks
	case len(values) != 1 || !strings.EqualFold(values[0], "chunked"):
		return false, errOtherEncoding
	}
	return true, nil
}
