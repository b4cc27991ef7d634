package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"gentiantide.example/gentiantide/internal/config"
)

// checkCommand validates a node settings file without running the node.
type checkCommand struct{ file string }

// Name implements subcommands.Command.
func (*checkCommand) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*checkCommand) Synopsis() string { return "check a node settings file" }

// Usage implements subcommands.Command.
func (*checkCommand) Usage() string {
	return "check -config FILE\n  Checks a node settings file and lists every problem with its position.\n" +
		"  Settings that are accepted but likely wrong are listed as warnings.\n"
}

// SetFlags implements subcommands.Command.
func (c *checkCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "config", "", "node settings `file`, JSON with comments")
}

// Execute implements subcommands.Command.
func (c *checkCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if c.file == "" {
		fmt.Fprintln(os.Stderr, "check: -config is required")
		return subcommands.ExitUsageError
	}
	node, err := config.Load(c.file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	for _, warning := range node.Warnings {
		fmt.Fprintln(os.Stderr, "warning:", warning)
	}
	fmt.Printf("%s: ok\n", c.file)
	return subcommands.ExitSuccess
}
