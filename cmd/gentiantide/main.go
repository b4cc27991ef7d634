// Command gentiantide is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"gentiantide.example/gentiantide/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := &cli.App{Stdout: os.Stdout, Stderr: os.Stderr, Getenv: os.Getenv, Version: version()}
	os.Exit(app.Run(ctx, os.Args[1:]))
}

// version returns the module version recorded in the binary.
func version() string {
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		return info.Main.Version
	}
	return "(devel)"
}
