package httpserver

import (
	"io"
	"net/http"
	"time"

	"gentiantide.example/gentiantide/internal/memaccount"
)

const (
	// bodyTimeout is the total time that a caller may make a handler wait for the
	// body. A body of 1 MiB exceeds it only below 35 KiB/s.
	bodyTimeout = 30 * time.Second
	// minUploadRate is the lowest sustained rate of a long upload in bytes per
	// second. The bytes received extend the remaining time at this rate, up to
	// bodyTimeout. An upload at this rate or faster may take any time; a
	// slower one is cut off, and so is one that pauses longer than bodyTimeout.
	minUploadRate = 16 << 10
	// maxBodyBytes is twice the limit of the handlers, so that their own error
	// responses state the limit; it protects a handler without a limit.
	maxBodyBytes = 2 << 20
	// maxUploadBytes allows 6 KiB per item for the largest job of 610,000 items.
	maxUploadBytes = 4 << 30
	// discardTimeout bounds the time for reading the part of a body that the
	// handler left unread.
	discardTimeout = 2 * time.Second
)

// limitedBody is a request body with limits on its size and on the total time
// that reads wait for data. The time that the handler spends between reads does
// not count.
type limitedBody struct {
	io.ReadCloser
	writer     http.ResponseWriter
	controller *http.ResponseController
	remaining  time.Duration // time that reads may still wait
	upload     bool
	done       bool // a read has reached the end or failed
	// account is charged for a body that is kept, and holder is its charge, or nil.
	account *memaccount.Account
	holder  *memaccount.Holder
}

// limitBody replaces the request's body by a limitedBody. It returns nil if the
// request has no body.
func limitBody(w http.ResponseWriter, r *http.Request, upload bool, account *memaccount.Account) *limitedBody {
	if r.Body == nil || r.Body == http.NoBody {
		return nil
	}
	limit := int64(maxBodyBytes)
	if upload {
		limit = maxUploadBytes
	}
	b := &limitedBody{
		ReadCloser: http.MaxBytesReader(w, r.Body, limit), writer: w, controller: http.NewResponseController(w),
		remaining: bodyTimeout, upload: upload, account: account,
	}
	// If the handler responds without reading the body, net/http reads part of it
	// before it sends the response.
	_ = b.controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	r.Body = b
	return b
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if b.done {
		return b.ReadCloser.Read(p)
	}
	started := time.Now()
	_ = b.controller.SetReadDeadline(started.Add(b.remaining))
	n, err := b.ReadCloser.Read(p)
	b.remaining -= time.Since(started)
	if b.upload {
		b.remaining = min(bodyTimeout, b.remaining+time.Duration(n)*time.Second/minUploadRate)
	}
	// At the end of a body net/http clears the read deadline and keeps reading, to
	// detect a disconnected caller. It would mistake the expiry of a deadline set
	// after that for a disconnect and cancel the request.
	b.done = err != nil
	return n, err
}

// release gives the memory of the body back after the handler has returned.
func (b *limitedBody) release() {
	if b != nil {
		b.holder.Close()
	}
}

// limitDiscard bounds the time for reading the rest of the body after the handler
// has returned.
func (b *limitedBody) limitDiscard() {
	if b != nil && !b.done {
		_ = b.controller.SetReadDeadline(time.Now().Add(discardTimeout))
	}
}
