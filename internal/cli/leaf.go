package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/google/subcommands"
)

// side is the listener that a command talks to.
type side uint8

const (
	noServer side = iota
	operatorsSide
	callersSide
)

// leaf is a command that does something.
type leaf struct {
	app            *App
	name, synopsis string
	// usage is the arguments and a description.
	usage  string
	server side
	flags  func(*flag.FlagSet)
	// minArgs and maxArgs bound the arguments; maxArgs < 0 is no bound.
	minArgs, maxArgs int
	run              func(ctx context.Context, in *invocation) error

	output, address, org, tokenFile string
}

// invocation is what a command runs with.
type invocation struct {
	*App
	args   []string
	client *client
	json   bool
}

// Name implements subcommands.Command.
func (l *leaf) Name() string { return l.name }

// Synopsis implements subcommands.Command.
func (l *leaf) Synopsis() string { return l.synopsis }

// Usage implements subcommands.Command.
func (l *leaf) Usage() string { return "gentiantide " + l.usage + "\n" + exitHelp + "Flags:\n" }

// SetFlags implements subcommands.Command.
func (l *leaf) SetFlags(f *flag.FlagSet) {
	f.SetOutput(l.app.Stderr)
	f.StringVar(&l.output, "o", "text", "output: text or json")
	switch l.server {
	case operatorsSide:
		f.StringVar(&l.address, "server", l.app.Getenv(envOperators), "operators' address of a node; default $"+envOperators)
		f.StringVar(&l.tokenFile, "token-file", "", "`file` with the operator's token; default: the token in $"+envToken)
	case callersSide:
		f.StringVar(&l.address, "server", l.app.Getenv(envCallers), "callers' address of a node; default $"+envCallers)
		f.StringVar(&l.org, "org", "", "organisation, while the fleet asks for no API key; the key is in $"+envAPIKey)
	}
	if l.flags != nil {
		l.flags(f)
	}
}

// Execute implements subcommands.Command.
func (l *leaf) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	err := l.execute(ctx, f)
	if err != nil {
		_, _ = fmt.Fprintf(l.app.Stderr, "gentiantide: %v\n", err)
		if exitCode(err) == exitUsage {
			_, _ = fmt.Fprintf(l.app.Stderr, "usage: gentiantide %s\n", strings.SplitN(l.usage, ":", 2)[0])
		}
	}
	return subcommands.ExitStatus(exitCode(err))
}

func (l *leaf) execute(ctx context.Context, f *flag.FlagSet) error {
	args, err := interspersed(f)
	if err != nil {
		return usagef("%v", err)
	}
	if len(args) < l.minArgs || l.maxArgs >= 0 && len(args) > l.maxArgs {
		return usagef("%s: wrong number of arguments: %d", l.name, len(args))
	}
	if l.output != "text" && l.output != "json" {
		return usagef("-o %q is not known; expected text or json", l.output)
	}
	in := &invocation{App: l.app, args: args, json: l.output == "json"}
	if l.address != "" {
		in.client = newClient(l.address, l.app.RetryPause)
		if err := l.identify(in.client); err != nil {
			return err
		}
	} else if l.server != noServer && l.name != "version" {
		return usagef("no server: give -server or set $%s", map[side]string{operatorsSide: envOperators, callersSide: envCallers}[l.server])
	}
	return l.run(ctx, in)
}

// identify sets what the requests carry about who sends them.
func (l *leaf) identify(c *client) (err error) {
	switch l.server {
	case callersSide:
		c.org, c.bearer = l.org, l.app.Getenv(envAPIKey)
	case operatorsSide:
		c.bearer, err = l.token()
	}
	return err
}

// token returns the operator's token, or "" if none is given.
func (l *leaf) token() (string, error) {
	if l.tokenFile == "" {
		return strings.TrimSpace(l.app.Getenv(envToken)), nil
	}
	data, err := os.ReadFile(l.tokenFile)
	if err != nil {
		return "", usagef("-token-file: %v", err)
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", usagef("-token-file: %s is empty", l.tokenFile)
	}
	return token, nil
}

// interspersed returns the arguments and parses flags that follow them.
func interspersed(f *flag.FlagSet) ([]string, error) {
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
