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
	length := resp.Header.Get("Content-Length")
	hasBody := length != "" && length != "0" || len(resp.TransferEncoding) > 0
	if resp.StatusCode < http.StatusOK && hasBody {
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
