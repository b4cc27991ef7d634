// Package contain keeps a panic in the code that serves one request, message, item
// or row from ending the process with all its other work. Broken invariants of state
// that is shared by the whole process must not be contained.
package contain

import (
	"fmt"
	"log/slog"
	"runtime/debug"
	"sync/atomic"

	"github.com/pkg/errors"
)

// ErrPanic is the cause of each error that Error returns.
var ErrPanic = errors.New("internal error: the handler panicked")

var count atomic.Int64

// Count returns the number of panics that this process has contained.
func Count() int64 { return count.Load() }

// Recover ends a panic of the deferring function, which serves one unit of work:
// unit is its kind and id names it in the log. It must be deferred directly. Work
// that the function took must be given back by other deferred calls.
func Recover(log *slog.Logger, unit, id string) {
	if v := recover(); v != nil {
		record(log, unit, id, v)
	}
}

// Error is Recover for a function with an error result, which it sets.
func Error(log *slog.Logger, unit, id string, err *error) {
	if v := recover(); v != nil {
		record(log, unit, id, v)
		*err = ErrPanic
	}
}

func record(log *slog.Logger, unit, id string, v any) {
	count.Add(1)
	log.Error("panic contained", "unit", unit, "id", id, "panic", fmt.Sprint(v), "stack", string(debug.Stack()))
}
