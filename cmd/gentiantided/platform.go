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
	"gentiantide.example/gentiantide/internal/entry"
	"gentiantide.example/gentiantide/internal/logline"
	"gentiantide.example/gentiantide/platform"
)

const (
	// memoryShare is the part of the VM's memory at which the collector works
	// harder; the rest is for socket buffers and the C library.
	memoryShare = 0.5
	// collectPercent is the garbage collector's growth between cycles. The live
	// heap is a few MB, so that memory is dearer than the cycles.
	collectPercent = 100
)

// platformCommand runs a node on the users' platform.
type platformCommand struct{}

// Name implements subcommands.Command.
func (*platformCommand) Name() string { return "platform" }

// Synopsis implements subcommands.Command.
func (*platformCommand) Synopsis() string { return "run the node on the users' platform" }

// Usage implements subcommands.Command.
func (*platformCommand) Usage() string {
	return "platform\n  Runs the node with the settings file that " + platform.SettingsVariable + " names. SIGTERM stops it gracefully.\n"
}

// SetFlags implements subcommands.Command.
func (*platformCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*platformCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	// A signal that comes before it is asked for ends the process.
	signals := entry.Signals()
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, "settings:", err)
		return subcommands.ExitFailure
	}
	// The VM has one core: more threads of Go code would only take turns.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(collectPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryShare))
	}
	output := asynclog.New(os.Stdout)
	defer output.Close()
	log := slog.New(logline.NewHandler(output, slog.LevelInfo))
	node, err := entry.New(settings, log)
	if err == nil {
		err = node.Run(signals)
	}
	if err != nil {
		log.Error("node failed", "error", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
