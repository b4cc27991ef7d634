package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"
)

// Environment variables that the commands read.
const (
	envOperators = "GENTIANTIDE_OPERATORS"
	envCallers   = "GENTIANTIDE_CALLERS"
	envAPIKey    = "GENTIANTIDE_API_KEY"
	// envToken holds the operator's token. No flag takes the token itself because
	// other users of a machine can see the arguments of a process.
	envToken = "GENTIANTIDE_TOKEN"
)

// App runs the commands of the program gentiantide.
type App struct {
	Stdout, Stderr io.Writer
	Getenv         func(string) string
	Version        string
	// PollInterval is the time between status requests while a command waits for
	// a job or a backend server; 0 means 1 s.
	PollInterval time.Duration
	// RetryDelay is the delay before the first retry of a request. It doubles with
	// each further retry; 0 means 250 ms.
	RetryDelay time.Duration
}

// Run executes the command that args name, without the program's name, and
// returns the exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	if a.PollInterval == 0 {
		a.PollInterval = time.Second
	}
	if a.RetryDelay == 0 {
		a.RetryDelay = 250 * time.Millisecond
	}
	flags := flag.NewFlagSet("gentiantide", flag.ContinueOnError)
	return int(a.execute(ctx, flags, "gentiantide", a.commands(), args))
}

// execute parses the flags and runs one of the commands. Groups also use it to
// run their subcommands.
func (a *App) execute(ctx context.Context, flags *flag.FlagSet, name string, commands []subcommands.Command, args []string) subcommands.ExitStatus {
	flags.SetOutput(a.Stderr)
	commander := subcommands.NewCommander(flags, name)
	commander.Output, commander.Error = a.Stdout, a.Stderr
	for _, c := range commands {
		commander.Register(c, "")
	}
	commander.Register(commander.HelpCommand(), "")
	explain := commander.Explain
	commander.Explain = func(w io.Writer) {
		explain(w)
		_, _ = io.WriteString(w, exitHelp)
	}
	if err := flags.Parse(args); err != nil {
		if err == flag.ErrHelp {
			return exitOK
		}
		return exitUsage
	}
	return commander.Execute(ctx)
}

func (a *App) commands() []subcommands.Command {
	return []subcommands.Command{
		&group{a, "settings", "read and change the settings tree", a.settingsCommands()},
		&group{a, "deployment", "list, show, create and delete deployments", a.deploymentCommands()},
		&group{a, "job", "create, watch and cancel batch jobs", a.jobCommands()},
		&group{a, "quarantine", "list and release parts of prompts that crash backend servers", a.quarantineCommands()},
		&group{a, "config", "check configurations of the users' platform", a.configCommands()},
		a.drainCommand(), a.fleetCommand(), a.organisationsCommand(), a.dumpCommand(), a.versionCommand(),
	}
}

// group is a command with subcommands.
type group struct {
	app            *App
	name, synopsis string
	commands       []subcommands.Command
}

// Name implements subcommands.Command.
func (g *group) Name() string { return g.name }

// Synopsis implements subcommands.Command.
func (g *group) Synopsis() string { return g.synopsis }

// Usage implements subcommands.Command.
func (g *group) Usage() string {
	text := "gentiantide " + g.name + " <command>: " + g.synopsis + "\n"
	for _, c := range g.commands {
		text += fmt.Sprintf("  %-10s %s\n", c.Name(), c.Synopsis())
	}
	return text + exitHelp
}

// SetFlags implements subcommands.Command.
func (g *group) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (g *group) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	name := "gentiantide " + g.name
	return g.app.execute(ctx, flag.NewFlagSet(name, flag.ContinueOnError), name, g.commands, f.Args())
}

// printJSON writes v to the standard output as indented JSON.
func (a *App) printJSON(v any) error {
	encoder := json.NewEncoder(a.Stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(v)
}

// printTable writes a header and rows to the standard output in aligned columns.
func (a *App) printTable(header []any, rows [][]any) error {
	w := tabwriter.NewWriter(a.Stdout, 0, 4, 2, ' ', 0)
	for _, row := range append([][]any{header}, rows...) {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprint(w, cell)
		}
		_, _ = fmt.Fprintln(w)
	}
	return w.Flush()
}
