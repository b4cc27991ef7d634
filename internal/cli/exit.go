package cli

import (
	"net/http"

	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitConflict    = 4
	exitUnavailable = 5
)

// exitHelp is part of the help text.
const exitHelp = `Exit codes:
  0  done
  1  failed
  2  wrong usage
  3  refused: nothing was changed
  4  conflict: somebody else made a change first; read again
  5  unavailable, or the outcome is unknown
`

// exitError is an error with its exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func usagef(format string, args ...any) error {
	return &exitError{exitUsage, errors.Errorf(format, args...)}
}

func refusedf(format string, args ...any) error {
	return &exitError{exitRefused, errors.Errorf(format, args...)}
}

func unavailablef(format string, args ...any) error {
	return &exitError{exitUnavailable, errors.Errorf(format, args...)}
}

// exitCode returns the exit code of a command's result.
func exitCode(err error) int {
	var coded *exitError
	var api *apiError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &coded):
		return coded.code
	case errors.As(err, &api):
		return api.exitCode()
	default:
		return exitFailed
	}
}

// exitCode maps a refusal of the server.
func (e *apiError) exitCode() int {
	switch e.code {
	case "conflict", "key_reused":
		return exitConflict
	case "outcome_unknown", "store_unavailable", "stopping", "no_backend", "deadline_exceeded":
		return exitUnavailable
	}
	switch {
	case e.status == http.StatusBadGateway, e.status == http.StatusServiceUnavailable, e.status == http.StatusGatewayTimeout:
		return exitUnavailable
	case e.status >= 400 && e.status < 500:
		return exitRefused
	default:
		return exitFailed
	}
}
