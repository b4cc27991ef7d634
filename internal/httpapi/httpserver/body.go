package httpserver

import (
	"io"
	"net/http"
	"time"
)

const (
	// bodyTimeout is the time that a caller may make a handler wait for the
	// body. A body of 1 MiB takes it only below 35 KiB/s.
	bodyTimeout = 30 * time.Second
	// uploadRate earns the caller of a long upload more time, up to bodyTimeout
	// at once: an upload at this many bytes a second or more goes on for ever, a
	// slower one ends, and so does one that pauses for longer than bodyTimeout.
	uploadRate = 16 << 10
	// maxBodyBytes is twice the limit of the handlers, which answer with the
	// limit of their own; it holds for a handler that has none.
	maxBodyBytes = 2 << 20
	// maxUploadBytes leaves 6 KiB for each item of the largest job of 610,000.
	maxUploadBytes = 4 << 30
	// discardTimeout bounds the reading of what a handler left of a body.
	discardTimeout = 2 * time.Second
)

// limitedBody is a request body with limits on its size and on the time that
// the reader waits for it. Time between reads is the handler's and does not
// count.
type limitedBody struct {
	io.ReadCloser
	control  *http.ResponseController
	patience time.Duration
	upload   bool
	ended    bool // at its end, or failed
}

// limitBody replaces the body of a request that has one.
func limitBody(w http.ResponseWriter, r *http.Request, upload bool) *limitedBody {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	limit := int64(maxBodyBytes)
	if upload {
		limit = maxUploadBytes
	}
	b := &limitedBody{
		ReadCloser: http.MaxBytesReader(w, r.Body, limit), control: http.NewResponseController(w),
		patience: bodyTimeout, upload: upload,
	}
	// If the handler answers without reading the body, net/http reads some of it
	// first.
	_ = b.control.SetReadDeadline(time.Now().Add(bodyTimeout))
	r.Body = b
	return b
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.ended {
		return b.ReadCloser.Read(p)
	}
	started := time.Now()
	_ = b.control.SetReadDeadline(started.Add(b.patience))
	n, err := b.ReadCloser.Read(p)
	b.patience -= time.Since(started)
	if b.upload {
		b.patience = min(bodyTimeout, b.patience+time.Duration(n)*time.Second/uploadRate)
	}
	// At the end of a body net/http removes the deadline and goes on reading, to
	// notice when the caller is gone. It would take a deadline set later for that.
	b.ended = err != nil
	return n, err
}

// release bounds the time that the rest of the body takes after the handler.
func (b *limitedBody) release() {
	if b != nil && !b.ended {
		_ = b.control.SetReadDeadline(time.Now().Add(discardTimeout))
	}
}
