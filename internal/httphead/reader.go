package httphead

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
)

// MaxInterim limits the interim (1xx) responses before a response.
const MaxInterim = 5

var (
	// ErrInterim is the error of more than MaxInterim interim responses.
	ErrInterim = errors.New("more than 5 interim responses")
	// ErrTooLong is the error of a head or a trailer above its limit.
	ErrTooLong = errors.New("head of the response exceeds its limit")
)

// Reader reads heads and trailers of at most a number of bytes in total.
type Reader struct {
	r    *bufio.Reader
	left int
	long []byte // holds a line longer than the buffer of r
}

// NewReader returns a reader for at most limit bytes.
func NewReader(r *bufio.Reader, limit int) *Reader { return &Reader{r: r, left: limit} }

// Head reads the next head.
func (r *Reader) Head() (*Head, error) {
	line, err := r.line()
	if err != nil {
		return nil, err
	}
	head := &Head{Header: make(http.Header)}
	if err := head.parseStatusLine(line); err != nil {
		return nil, err
	}
	err = r.fields(func(name, value []byte) {
		key := http.CanonicalHeaderKey(string(name))
		head.Header[key] = append(head.Header[key], string(value))
	})
	return head, err
}

// Trailer reads and drops the fields after the last chunk of a body.
func (r *Reader) Trailer() error { return r.fields(func(_, _ []byte) {}) }

// fields passes the fields up to the empty line to a function.
func (r *Reader) fields(add func(name, value []byte)) error {
	for {
		line, err := r.line()
		if err != nil || len(line) == 0 {
			return err
		}
		name, value, err := parseField(line)
		if err != nil {
			return err
		}
		add(name, value)
	}
}

// line returns the next line without its end. It is valid until the next call. The end
// of the input is io.ErrUnexpectedEOF.
func (r *Reader) line() ([]byte, error) {
	r.long = r.long[:0]
	for {
		part, err := r.r.ReadSlice('\n')
		if r.left -= len(part); r.left < 0 {
			return nil, ErrTooLong
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			r.long = append(r.long, part...)
			continue
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if len(r.long) > 0 {
			r.long = append(r.long, part...)
			part = r.long
		}
		return bytes.TrimSuffix(bytes.TrimSuffix(part, []byte("\n")), []byte("\r")), nil
	}
}
