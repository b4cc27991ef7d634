// Package logline provides the log handler of the daemons. It writes each event
// as one line of key=value pairs.
package logline

import (
	"io"
	"log/slog"
)

// NewHandler returns a text handler that logs only the message of an error.
// Errors of pkg/errors would otherwise add their stack trace to the line.
func NewHandler(out io.Writer, level slog.Leveler) slog.Handler {
	return slog.NewTextHandler(out, &slog.HandlerOptions{Level: level, ReplaceAttr: errorMessage})
}

// errorMessage replaces an error value by its message.
func errorMessage(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
