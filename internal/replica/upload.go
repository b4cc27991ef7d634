package replica

import (
	"fmt"
	"io"
	"time"
)

// uploadEndTimeout is how long an upload may take on after the replica has ended a body
// that ends with the connection. If the connection was reset, its write fails at once.
const uploadEndTimeout = 200 * time.Millisecond

var errUploadCut = fmt.Errorf("connection ended before the request was sent: %w", io.ErrUnexpectedEOF)

// upload is a request body that is written while the response is read.
type upload struct {
	done chan struct{}
	err  error // valid once done is closed
}

// startUpload runs a write.
func startUpload(write func() error) *upload {
	u := &upload{done: make(chan struct{})}
	go func() {
		defer close(u.done)
		u.err = write()
	}()
	return u
}

// sent reports whether the whole request was written by now. A nil upload was written
// before the response was read.
func (u *upload) sent() bool {
	if u == nil {
		return true
	}
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// checkEnd returns an error if the connection ended under the upload. The kernel reports
// a reset only once: if the write got the error, the read sees an end like that of a
// whole body.
func (u *upload) checkEnd() error {
	if u == nil {
		return nil
	}
	select {
	case <-u.done:
	case <-time.After(uploadEndTimeout):
	}
	if !u.sent() {
		return errUploadCut
	}
	return nil
}
