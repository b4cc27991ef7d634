// Package asynclog writes log lines without blocking the goroutines that log.
package asynclog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity is the maximum number of queued lines. At 300 bytes each they
	// take 600 KB.
	queueCapacity = 2048
	// maxLinesPerSecond limits the log volume under load. At the design scale a
	// node serves about 20 requests a second, with up to four lines each.
	maxLinesPerSecond = 400
)

// Writer queues lines for an output that may be slow. Lines that exceed the rate
// limit or find the queue full are dropped and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a writer and starts its goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueCapacity), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer; each call must pass one whole line. It never blocks
// and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the goroutine. Lines that are written
// after Close are dropped.
func (w *Writer) Close() {
	close(w.stop)
	<-w.done
}

// run writes queued lines until Close, within the rate limit.
func (w *Writer) run() {
	defer close(w.done)
	var windowStart time.Time
	budget := 0
	for {
		line, ok := w.next()
		if !ok {
			w.reportDropped()
			return
		}
		if now := time.Now(); now.Sub(windowStart) >= time.Second {
			w.reportDropped()
			windowStart, budget = now, maxLinesPerSecond
		}
		if budget--; budget < 0 {
			w.dropped.Add(1)
			continue
		}
		w.emit(line)
	}
}

// next waits for a line. After Close it returns the queued lines and then false.
func (w *Writer) next() ([]byte, bool) {
	select {
	case line := <-w.lines:
		return line, true
	case <-w.stop:
	}
	select {
	case line := <-w.lines:
		return line, true
	default:
		return nil, false
	}
}

// reportDropped writes a line with the number of lines dropped since its last call.
func (w *Writer) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		w.emit(fmt.Appendf(nil, "level=WARN msg=\"log lines dropped\" lines=%d\n", n))
	}
}

// emit writes one line. An error is ignored, since a failure of the log output
// cannot be logged.
func (w *Writer) emit(line []byte) { _, _ = w.out.Write(line) }
