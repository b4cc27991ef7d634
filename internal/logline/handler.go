// Package logline makes the log handler of the daemons: one line of key=value
// pairs for each event.
package logline

import (
	"io"
	"log/slog"
)

// NewHandler returns a handler that writes errors as their message. Errors of
// pkg/errors would otherwise bring their stack into the line.
func NewHandler(out io.Writer, level slog.Leveler) slog.Handler {
	return slog.NewTextHandler(out, &slog.HandlerOptions{Level: level, ReplaceAttr: plainError})
}

func plainError(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}
