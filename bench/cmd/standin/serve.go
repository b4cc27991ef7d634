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
	// shutdownTimeout is how long running calls may take after SIGTERM or SIGINT.
	shutdownTimeout = time.Second
	// readHeaderTimeout closes connections that send no complete request header.
	readHeaderTimeout = 10 * time.Second
)

// serve serves requests until ctx ends.
func serve(ctx context.Context, name, address string, handler http.Handler) subcommands.ExitStatus {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		slog.Error("cannot listen", "standin", name, "address", address, "error", err)
		return subcommands.ExitFailure
	}
	slog.Info("listening", "standin", name, "address", listener.Addr().String())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		slog.Error("server failed", "standin", name, "error", err)
		return subcommands.ExitFailure
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdownCtx) != nil {
		_ = server.Close()
	}
	slog.Info("stopped", "standin", name)
	return subcommands.ExitSuccess
}
