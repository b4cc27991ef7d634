package httphead

import (
	"bytes"
	"fmt"
	"net/http"
)

const (
	statusDigits = 3
	// minStatus and maxStatus bound the status codes (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
	// maxQuoted is how many bytes of a malformed line an error quotes.
	maxQuoted = 80
)

// parseStatusLine parses "HTTP/1.1 200" with an optional reason phrase.
func (h *Head) parseStatusLine(line []byte) error {
	rest, ok := bytes.CutPrefix(line, []byte("HTTP/1."))
	if !ok || len(rest) < len("1 200") || !isDigit(rest[0]) || rest[1] != ' ' {
		return malformed("status line", line)
	}
	h.Minor = int(rest[0] - '0')
	code, reason := rest[2:2+statusDigits], rest[2+statusDigits:]
	h.Status = 0
	for _, c := range code {
		if !isDigit(c) {
			return malformed("status line", line)
		}
		h.Status = 10*h.Status + int(c-'0')
	}
	if len(reason) > 0 && reason[0] != ' ' || !isFieldValue(reason) {
		return malformed("status line", line)
	}
	return checkStatus(h.Status)
}

// checkStatus refuses codes that are no status, and the switch to another protocol,
// which no request asks for.
func checkStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("response has status %03d", status)
	}
	return nil
}

// parseField parses "name: value". A line that continues the one before is refused: it
// begins with a blank, as no name does.
func parseField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	value = bytes.Trim(value, " \t")
	if !ok || !isToken(name) || !isFieldValue(value) {
		return nil, nil, malformed("header line", line)
	}
	return name, value, nil
}

func malformed(what string, line []byte) error {
	return fmt.Errorf("malformed %s %q", what, line[:min(len(line), maxQuoted)])
}
