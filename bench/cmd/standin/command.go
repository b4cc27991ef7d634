package main

import (
	"context"
	"flag"
	"net/http"

	"github.com/google/subcommands"
)

// command is a subcommand that runs one stand-in server.
type command struct {
	name, synopsis string
	// flags defines the flags for the parameters of the stand-in.
	flags func(*flag.FlagSet)
	// handler creates the stand-in and, if it needs one, a function that closes it.
	handler func() (http.Handler, func())

	listen string
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string { return c.name + " [flags]\n  " + c.synopsis + "\n" }

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
	c.flags(f)
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 {
		f.Usage()
		return subcommands.ExitUsageError
	}
	handler, closeHandler := c.handler()
	if closeHandler != nil {
		defer closeHandler()
	}
	return serve(ctx, c.name, c.listen, handler)
}
