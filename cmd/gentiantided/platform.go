package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/google/subcommands"

	"gentiantide.example/gentiantide/internal/asynclog"
	"gentiantide.example/gentiantide/internal/logline"
	"gentiantide.example/gentiantide/internal/memaccount"
	"gentiantide.example/gentiantide/internal/platformnode"
	"gentiantide.example/gentiantide/platform"
)

const (
	// gcPercent is the heap growth between garbage collections. The live heap is
	// only a few MB, so frequent collections cost less than a larger heap.
	gcPercent = 100
)

// platformCommand runs a node on the users' platform.
type platformCommand struct{}

// Name implements subcommands.Command.
func (*platformCommand) Name() string { return "platform" }

// Synopsis implements subcommands.Command.
func (*platformCommand) Synopsis() string { return "run the node on the users' platform" }

// Usage implements subcommands.Command.
func (*platformCommand) Usage() string {
	return "platform\n  Runs the node with the settings file named by the environment variable " + platform.SettingsVariable + ". SIGTERM stops it gracefully.\n"
}

// SetFlags implements subcommands.Command.
func (*platformCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*platformCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	// Register the handler first: until then a signal ends the process at once.
	signals := platformnode.Signals()
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, "settings:", err)
		return subcommands.ExitFailure
	}
	// The VM has one core, so more threads would only add context switches.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memaccount.RuntimeShare))
	}
	output := asynclog.New(os.Stdout)
	defer output.Close()
	log := slog.New(logline.NewHandler(output, slog.LevelInfo))
	node, err := platformnode.New(settings, log)
	if err == nil {
		err = node.Run(signals)
	}
	if err != nil {
		log.Error("node failed", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
