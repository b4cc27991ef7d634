package cli

import (
	"net/http"

	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailed      = 1
	exitUsage       = 2
	exitRefused     = 3
	exitConflict    = 4
	exitUnavailable = 5
)

// exitHelp is the part of the help text that lists the exit codes.
const exitHelp = `Exit codes:
  0  done
  1  failed
  2  invalid usage
  3  refused: nothing was changed
  4  conflict: another change was made first; read the current state and try again
  5  unavailable, or the outcome is unknown
`

// exitError attaches an exit code to an error.
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

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var exitErr *exitError
	var apiErr *apiError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exitErr):
		return exitErr.code
	case errors.As(err, &apiErr):
		return apiErr.exitCode()
	default:
		return exitFailed
	}
}

// exitCode returns the exit code for an error response of the server.
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
