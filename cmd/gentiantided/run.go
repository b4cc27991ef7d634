package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"

	"gentiantide.example/gentiantide/internal/config"
	"gentiantide.example/gentiantide/internal/logline"
	"gentiantide.example/gentiantide/internal/memaccount"
	"gentiantide.example/gentiantide/internal/node"
)

// runCommand runs the node until SIGTERM or SIGINT.
type runCommand struct{ file string }

// Name implements subcommands.Command.
func (*runCommand) Name() string { return "run" }

// Synopsis implements subcommands.Command.
func (*runCommand) Synopsis() string { return "run the node" }

// Usage implements subcommands.Command.
func (*runCommand) Usage() string {
	return "run -config FILE\n  Runs the node. SIGTERM or SIGINT stops it gracefully; a second signal ends it at once.\n"
}

// SetFlags implements subcommands.Command.
func (c *runCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "config", "", "node settings `file`, JSON with comments")
}

// Execute implements subcommands.Command.
func (c *runCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.file == "" {
		fmt.Fprintln(os.Stderr, "run: -config is required")
		return subcommands.ExitUsageError
	}
	cfg, err := config.Load(c.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if cfg.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.MemoryBytes) * memaccount.RuntimeShare))
	}
	log := slog.New(logline.NewHandler(os.Stderr, cfg.LogLevel))
	if err := node.New(cfg, log).Run(notifyStop(log)); err != nil {
		log.Error("node failed", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// notifyStop returns a channel that is closed on the first stop signal. A second
// signal ends the process at once.
func notifyStop(log *slog.Logger) <-chan struct{} {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
		<-signals
		log.Warn("second stop signal received, exiting without waiting for streams in progress")
		os.Exit(int(subcommands.ExitFailure))
	}()
	return stop
}
