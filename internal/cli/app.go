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

// Environment variables that stand in for flags.
const (
	envOperators = "GENTIANTIDE_OPERATORS"
	envCallers   = "GENTIANTIDE_CALLERS"
	envAPIKey    = "GENTIANTIDE_API_KEY"
	// envToken holds the operator's token. There is no flag for its value,
	// since other users of a machine see the arguments of each process.
	envToken = "GENTIANTIDE_TOKEN"
)

// App is one run of the command line.
type App struct {
	Stdout, Stderr io.Writer
	Getenv         func(string) string
	Version        string
	// PollInterval is the time between looks at a job or a backend server that
	// a command waits for; 0 means 1 s.
	PollInterval time.Duration
	// RetryPause is the first pause before a request is sent again, doubled
	// each time; 0 means 250 ms.
	RetryPause time.Duration
}

// Run executes the command line without the program's name and returns the
// exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	if a.PollInterval == 0 {
		a.PollInterval = time.Second
	}
	if a.RetryPause == 0 {
		a.RetryPause = 250 * time.Millisecond
	}
	flags := flag.NewFlagSet("gentiantide", flag.ContinueOnError)
	return int(a.execute(ctx, flags, "gentiantide", a.commands(), args))
}

// execute runs one of the commands; a group's commands are run by this, too.
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
			return exitDone
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
		a.drainCommand(), a.fleetCommand(), a.dumpCommand(), a.versionCommand(),
	}
}

// group is a command that has commands.
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

// printJSON writes indented JSON.
func (a *App) printJSON(v any) error {
	encoder := json.NewEncoder(a.Stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(v)
}

// table writes rows in columns.
func (a *App) table(header []any, rows [][]any) error {
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
