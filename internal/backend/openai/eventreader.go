package openai

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

const (
	// readBufferSize is enough for several chunks of about 150 bytes each.
	readBufferSize = 4 << 10
	// maxEventBytes limits the memory that one event can use.
	maxEventBytes = 1 << 20
)

var (
	errEventTooLong = errors.New("event exceeds 1 MiB")
	dataPrefix      = []byte("data:")
)

// eventReader reads server-sent events that have a single data line each.
type eventReader struct {
	r        *bufio.Reader
	longLine []byte // buffer for a line longer than the read buffer
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, readBufferSize)}
}

// next returns the data of the next event, which is valid until the next call.
// A last line without a newline may be truncated and is not returned.
func (e *eventReader) next() ([]byte, error) {
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

func (e *eventReader) line() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	e.longLine = e.longLine[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(e.longLine)+len(line) > maxEventBytes {
			return nil, errEventTooLong
		}
		e.longLine = append(e.longLine, line...)
		line, err = e.r.ReadSlice('\n')
	}
	e.longLine = append(e.longLine, line...)
	return e.longLine, err
}
