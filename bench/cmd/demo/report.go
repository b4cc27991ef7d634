package main

import (
	"fmt"
	"io"
	"sync"
)

// report prints one line for each checked guarantee and counts the results.
type report struct {
	mu     sync.Mutex
	out    io.Writer
	passed int
	failed int
}

// check prints whether a guarantee held, with details.
func (r *report) check(name string, ok bool, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	verdict := "PASS"
	if ok {
		r.passed++
	} else {
		r.failed++
		verdict = "FAIL"
	}
	_, _ = fmt.Fprintf(r.out, "%s  %s: %s\n", verdict, name, fmt.Sprintf(format, args...))
}

// close prints the totals and reports whether every check passed.
func (r *report) close() bool {
	_, _ = fmt.Fprintf(r.out, "%d passed, %d failed\n", r.passed, r.failed)
	return r.failed == 0
}
