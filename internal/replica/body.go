package replica

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"

	"gentiantide.example/gentiantide/internal/httphead"
)

const (
	// maxHeadBytes limits the status line and the headers of a response, with those
	// of interim responses before it. A usual head has less than 1 KiB. A replica
	// that sends header lines without end would otherwise use up the memory of each
	// node that sends it a request.
	maxHeadBytes = 32 << 10
	// maxTrailerBytes limits the trailer of a response, which is dropped.
	maxTrailerBytes = 4 << 10
	// maxBodyBytes limits the body of a response, so that one without end does not
	// occupy the connection, the slot and the caller until the deadline.
	maxBodyBytes = 64 << 20
)

var (
	errBodyTooLong         = errors.New("response body exceeds 64 MiB")
	errStaleResponseLength = errors.New("response to another request exceeds 1 MiB")
)

// newBody returns a reader of a body, which ends with io.EOF only if the body is
// complete.
func newBody(c *conn, framing httphead.Framing, length int64) io.Reader {
	r := c.reader
	switch {
	case framing == httphead.FramingChunks:
		return &chunkedBody{r: r, chunks: httputil.NewChunkedReader(r)}
	case framing == httphead.FramingLength && length > 0:
		return &lengthBody{r: r, left: length}
	case framing == httphead.FramingClose:
		return &closeBody{r: r, upload: c.upload}
	default:
		return http.NoBody
	}
}

// lengthBody reads a body of a known length. It returns io.EOF with the last bytes.
type lengthBody struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (b *lengthBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	switch {
	case b.left == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody reads a body in chunks and its trailer.
type chunkedBody struct {
	r      *bufio.Reader
	chunks io.Reader
	err    error
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (n int, err error) {
	if b.err != nil {
		return 0, b.err
	}
	if n, b.err = b.chunks.Read(p); errors.Is(b.err, io.EOF) {
		if err := httphead.NewReader(b.r, maxTrailerBytes).Trailer(); err != nil {
			b.err = err
		}
	}
	return n, b.err
}

// closeBody reads a body that ends with its connection.
type closeBody struct {
	r      io.Reader
	upload *upload
}

// Read implements io.Reader.
func (b *closeBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if errors.Is(err, io.EOF) {
		if uploadErr := b.upload.checkEnd(); uploadErr != nil {
			err = uploadErr
		}
	}
	return n, err
}

// drain discards the rest of a response body. It fails if the body is longer than
// maxStaleResponseBytes.
func drain(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxStaleResponseBytes+1))
	if err == nil && n > maxStaleResponseBytes {
		err = errStaleResponseLength
	}
	return err
}
