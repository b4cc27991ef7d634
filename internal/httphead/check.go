package httphead

import (
	"errors"
	"fmt"
	"net/http"
)

const (
	// minStatus and maxStatus bound the status codes (RFC 9110, section 15).
	minStatus = 100
	maxStatus = 599
)

var errInterimBody = errors.New("interim response has a body")

// Check returns an error for a head that net/http has read although it is none of
// HTTP/1.
func Check(resp *http.Response) error {
	if resp.ProtoMajor != 1 {
		return fmt.Errorf("response has version %q", resp.Proto)
	}
	return CheckHead(resp.StatusCode, resp.Header)
}

// CheckHead is Check for the status and the header of a response, which may be interim.
func CheckHead(status int, header http.Header) error {
	if err := checkStatus(status); err != nil {
		return err
	}
	for name, values := range header {
		if !isToken(name) {
			return fmt.Errorf("malformed header name %q", name)
		}
		for _, value := range values {
			if !isFieldValue(value) {
				return fmt.Errorf("malformed value %q of header %s", value, name)
			}
		}
	}
	length := header.Get("Content-Length")
	if status < http.StatusOK && length != "" && length != "0" {
		return errInterimBody
	}
	return nil
}

// checkStatus refuses codes that are no status, and the switch to another protocol,
// which no request asks for.
func checkStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("response has status %03d", status)
	}
	return nil
}
