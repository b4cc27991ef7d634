package main

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/google/subcommands"
)

const (
	// stopTimeout is how long running calls may take after SIGTERM.
	stopTimeout = time.Second
	// headerTimeout ends connections that send no request header.
	headerTimeout = 10 * time.Second
)

// serve answers requests until ctx ends.
func serve(ctx context.Context, name, address string, handler http.Handler) subcommands.ExitStatus {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		slog.Error("cannot listen", "standin", name, "address", address, "error", err)
		return subcommands.ExitFailure
	}
	slog.Info("listening", "standin", name, "address", listener.Addr().String())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		slog.Error("server failed", "standin", name, "error", err)
		return subcommands.ExitFailure
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if server.Shutdown(stop) != nil {
		_ = server.Close()
	}
	slog.Info("stopped", "standin", name)
	return subcommands.ExitSuccess
}
