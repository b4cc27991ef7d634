package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"gentiantide.example/gentiantide/internal/core"
)

// versionCommand prints the version of the daemon.
type versionCommand struct{}

// Name implements subcommands.Command.
func (*versionCommand) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*versionCommand) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (*versionCommand) Usage() string { return "version\n  Prints the version.\n" }

// SetFlags implements subcommands.Command.
func (*versionCommand) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("gentiantided", core.Version)
	return subcommands.ExitSuccess
}
