// Package asynclog writes log lines without blocking the goroutines that log.
package asynclog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait; at 300 bytes each they take 600 KB.
	queueLines = 2048
	// linesPerSecond bounds the volume under load. A node serves about 20
	// requests a second at the design size, with up to four lines each.
	linesPerSecond = 400
)

// Writer queues lines for a slow output. Lines beyond the rate or the queue are
// dropped and counted.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// New returns a writer and starts its goroutine.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer for one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what is queued and ends the goroutine. Lines that goroutines
// still log while the process ends are dropped.
func (w *Writer) Close() {
	close(w.stop)
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	var window time.Time
	budget := 0
	for {
		line, more := w.next()
		if !more {
			w.reportDropped()
			return
		}
		if now := time.Now(); now.Sub(window) >= time.Second {
			w.reportDropped()
			window, budget = now, linesPerSecond
		}
		if budget--; budget < 0 {
			w.dropped.Add(1)
			continue
		}
		w.emit(line)
	}
}

// next waits for a line. After Close it returns what is queued and then false.
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

func (w *Writer) reportDropped() {
	if n := w.dropped.Swap(0); n > 0 {
		w.emit(fmt.Appendf(nil, "level=WARN msg=\"log lines dropped\" lines=%d\n", n))
	}
}

// emit writes one line. There is nowhere to report that the log output fails.
func (w *Writer) emit(line []byte) { _, _ = w.out.Write(line) }
