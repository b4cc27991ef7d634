package main

import (
	"context"
	"flag"
	"net/http"

	"github.com/google/subcommands"
)

// command is a subcommand that serves one stand-in.
type command struct {
	name, synopsis string
	// flags declares the flags of the stand-in's parameters.
	flags func(*flag.FlagSet)
	// handler builds the stand-in; the second value, if not nil, ends it.
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
	handler, end := c.handler()
	if end != nil {
		defer end()
	}
	return serve(ctx, c.name, c.listen, handler)
}
