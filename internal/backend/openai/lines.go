package openai

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	// readBuffer holds several chunks of about 150 bytes.
	readBuffer = 4 << 10
	// maxEvent bounds the memory that one event can take.
	maxEvent = 1 << 20
)

var (
	errEventTooLong = errors.New("event exceeds 1 MiB")
	dataPrefix      = []byte("data:")
)

// events reads the data of server-sent events. Each event has one data line.
type events struct {
	r    *bufio.Reader
	long []byte // a line that exceeds the read buffer
}

func newEvents(r io.Reader) *events {
	return &events{r: bufio.NewReaderSize(r, readBuffer)}
}

// next returns the data of the next event; it is valid until the next call.
// A last line without its newline is not returned, since it may be truncated.
func (e *events) next() ([]byte, error) {
	for {
		line, err := e.line()
		if err != nil {
			return nil, err
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if ok {
			return bytes.TrimSpace(data), nil
		}
	}
}

func (e *events) line() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	e.long = e.long[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(e.long)+len(line) > maxEvent {
			return nil, errEventTooLong
		}
		e.long = append(e.long, line...)
		line, err = e.r.ReadSlice('\n')
	}
	e.long = append(e.long, line...)
	return e.long, err
}
