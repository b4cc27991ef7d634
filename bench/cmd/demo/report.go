package main

import (
	"fmt"
	"io"
	"sync"
)

// report collects one line for each promise.
type report struct {
	mu     sync.Mutex
	out    io.Writer
	passed int
	failed int
}

// promise prints the verdict on a promise and what was counted.
func (r *report) promise(name string, kept bool, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	verdict := "PASS"
	if kept {
		r.passed++
	} else {
		r.failed++
		verdict = "FAIL"
	}
	_, _ = fmt.Fprintf(r.out, "%s  %s: %s\n", verdict, name, fmt.Sprintf(format, args...))
}

// close prints the totals and reports whether every promise was kept.
func (r *report) close() bool {
	_, _ = fmt.Fprintf(r.out, "%d passed, %d failed\n", r.passed, r.failed)
	return r.failed == 0
}
