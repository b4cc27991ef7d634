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
	if err := checkStatus(resp.StatusCode); err != nil {
		return err
	}
	if resp.StatusCode < http.StatusOK && len(resp.TransferEncoding) > 0 {
		return errInterimBody
	}
	return checkHeader(resp.StatusCode, resp.Header)
}

// CheckInterim returns an error for the status and the header of an interim response
// that net/http has skipped although it is none of HTTP/1.
func CheckInterim(status int, header http.Header) error {
	if err := checkStatus(status); err != nil {
		return err
	}
	return checkHeader(status, header)
}

// checkStatus refuses codes that are no status, and the switch to another protocol,
// which no request asks for.
func checkStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("response has status %03d", status)
	}
	return nil
}

func checkHeader(status int, header http.Header) error {
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
