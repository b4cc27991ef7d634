package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"
)

// apiKind says which HTTP API of a node a command calls.
type apiKind uint8

const (
	noAPI apiKind = iota
	operatorsAPI
	callersAPI
)

// command is a command without subcommands.
type command struct {
	app            *App
	name, synopsis string
	// usage holds the arguments and, after a colon, a description.
	usage string
	api   apiKind
	flags func(*flag.FlagSet)
	// minArgs and maxArgs bound the number of arguments; a negative maxArgs means
	// no upper bound.
	minArgs, maxArgs int
	run              func(ctx context.Context, in *invocation) error

	output, address, org, tokenFile string
}

// invocation holds what one run of a command needs: its arguments, the client
// and the output format.
type invocation struct {
	*App
	args   []string
	client *client
	json   bool
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string { return "gentiantide " + c.usage + "\n" + exitHelp + "Flags:\n" }

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	f.SetOutput(c.app.Stderr)
	f.StringVar(&c.output, "o", "text", "output: text or json")
	switch c.api {
	case operatorsAPI:
		f.StringVar(&c.address, "server", c.app.Getenv(envOperators), "operators' address of a node; default $"+envOperators)
		f.StringVar(&c.tokenFile, "token-file", "", "`file` with the operator's token; default: the token in $"+envToken)
	case callersAPI:
		f.StringVar(&c.address, "server", c.app.Getenv(envCallers), "callers' address of a node; default $"+envCallers)
		f.StringVar(&c.org, "org", "", "organisation to use if the fleet requires no API key; the API key is read from $"+envAPIKey)
	}
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := c.execute(ctx, f)
	if err != nil {
		_, _ = fmt.Fprintf(c.app.Stderr, "gentiantide: %v\n", err)
		if exitCode(err) == exitUsage {
			_, _ = fmt.Fprintf(c.app.Stderr, "usage: gentiantide %s\n", strings.SplitN(c.usage, ":", 2)[0])
		}
	}
	return subcommands.ExitStatus(exitCode(err))
}

func (c *command) execute(ctx context.Context, f *flag.FlagSet) error {
	args, err := parseInterspersed(f)
	if err != nil {
		return usagef("%v", err)
	}
	if len(args) < c.minArgs || c.maxArgs >= 0 && len(args) > c.maxArgs {
		return usagef("%s: wrong number of arguments: %d", c.name, len(args))
	}
	if c.output != "text" && c.output != "json" {
		return usagef("-o %q is not supported; expected text or json", c.output)
	}
	in := &invocation{App: c.app, args: args, json: c.output == "json"}
	if c.address != "" {
		in.client = newClient(c.address, c.app.RetryDelay)
		if err := c.setCredentials(in.client); err != nil {
			return err
		}
	} else if c.api != noAPI && c.name != "version" {
		return usagef("no server address: set -server or $%s", map[apiKind]string{operatorsAPI: envOperators, callersAPI: envCallers}[c.api])
	}
	return c.run(ctx, in)
}

// setCredentials sets the organisation and the bearer token of the requests.
func (c *command) setCredentials(cl *client) (err error) {
	switch c.api {
	case callersAPI:
		cl.org, cl.bearerToken = c.org, c.app.Getenv(envAPIKey)
	case operatorsAPI:
		cl.bearerToken, err = c.token()
	}
	return err
}

// token returns the operator's token from the token file or else from the
// environment, or "" if neither is given.
func (c *command) token() (string, error) {
	if c.tokenFile == "" {
		return strings.TrimSpace(c.app.Getenv(envToken)), nil
	}
	data, err := os.ReadFile(c.tokenFile)
	if err != nil {
		return "", usagef("-token-file: %v", err)
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", usagef("-token-file: %s is empty", c.tokenFile)
	}
	return token, nil
}

// parseInterspersed returns the positional arguments and also parses flags that
// follow them, at which package flag stops.
func parseInterspersed(f *flag.FlagSet) ([]string, error) {
	var args []string
	rest := f.Args()
	for len(rest) > 0 {
		if strings.HasPrefix(rest[0], "-") && rest[0] != "-" {
			if err := f.Parse(rest); err != nil {
				return nil, err
			}
			rest = f.Args()
			continue
		}
		args = append(args, rest[0])
		rest = rest[1:]
	}
	return args, nil
}
