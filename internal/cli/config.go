package cli

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"

	"gentiantide.example/gentiantide/internal/configcheck"
	"gentiantide.example/gentiantide/internal/httpapi/operators"
	"gentiantide.example/gentiantide/platform"
)

const configurationPath = "/admin/v1/configuration"

// inForce is the value of -against for the configuration that a node uses.
const inForce = "in-force"

func (a *App) configCommands() []subcommands.Command {
	var against, server string
	return []subcommands.Command{
		&command{app: a, name: "check", synopsis: "check a configuration before it is sent", api: noAPI, minArgs: 1, maxArgs: 1,
			usage: "config check FILE: look for errors, entries that can never match and limits that contradict each other, and show what differs from another version. Ends with 3 if the configuration has errors.",
			flags: func(f *flag.FlagSet) {
				f.StringVar(&against, "against", "", "another configuration: a `file`, or "+inForce+" for that of the node -server")
				f.StringVar(&server, "server", a.Getenv(envOperators), "operators' address of a node, for -against "+inForce+"; default $"+envOperators)
			},
			run: func(ctx context.Context, in *invocation) error { return in.checkConfig(ctx, against, server) }},
	}
}

// configReport is the result of a check.
type configReport struct {
	Version  int64                 `json:"version"`
	Findings []configcheck.Finding `json:"findings"`
	// Against is the version that the changes are from, if there is one.
	Against int64                `json:"against,omitempty"`
	Changes []configcheck.Change `json:"changes,omitempty"`
}

func (in *invocation) checkConfig(ctx context.Context, against, server string) error {
	doc, err := readConfig(in.args[0])
	if err != nil {
		return err
	}
	report := configReport{Version: doc.Version, Findings: configcheck.Check(doc)}
	if against != "" {
		other, err := in.otherConfig(ctx, against, server)
		if err != nil {
			return err
		}
		report.Against, report.Changes = other.Version, configcheck.Diff(other.Entries, configcheck.Describe(doc))
		if doc.Version <= other.Version {
			report.Findings = append(report.Findings, configcheck.Finding{Line: 1, Severity: configcheck.SeverityError, Entry: "configuration",
				Message: fmt.Sprintf("version %d is not higher than %d, so that nodes ignore it", doc.Version, other.Version)})
		}
	}
	if err := in.printConfigReport(report); err != nil {
		return err
	}
	errors := 0
	for _, f := range report.Findings {
		if f.Severity == configcheck.SeverityError {
			errors++
		}
	}
	if errors > 0 {
		return refusedf("%s has %d errors", in.args[0], errors)
	}
	return nil
}

func (in *invocation) printConfigReport(report configReport) error {
	if in.json {
		return in.printJSON(report)
	}
	for _, f := range report.Findings {
		if _, err := fmt.Fprintf(in.Stdout, "%s:%d: %s: %s: %s\n", in.args[0], f.Line, f.Severity, f.Entry, f.Message); err != nil {
			return err
		}
	}
	if report.Against == 0 {
		return nil
	}
	rows := make([][]any, len(report.Changes))
	for i, c := range report.Changes {
		rows[i] = []any{c.Name, orDash(c.Before), orDash(c.After)}
	}
	return in.printTable([]any{"DIFFERS", fmt.Sprintf("VERSION %d", report.Against), fmt.Sprintf("VERSION %d", report.Version)}, rows)
}

// readConfig reads a configuration from a file. One that cannot be parsed is refused.
func readConfig(path string) (*configcheck.Document, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usagef("%v", err)
	}
	doc, err := platform.ParseConfig(data)
	if err != nil {
		return nil, refusedf("%s: %v", path, err)
	}
	return doc, nil
}

// otherConfig returns the configuration to compare with.
func (in *invocation) otherConfig(ctx context.Context, against, server string) (*operators.Configuration, error) {
	if against != inForce {
		doc, err := readConfig(against)
		if err != nil {
			return nil, err
		}
		return &operators.Configuration{Version: doc.Version, Entries: configcheck.Describe(doc)}, nil
	}
	if server == "" {
		return nil, usagef("no server address: set -server or $%s", envOperators)
	}
	var c operators.Configuration
	return &c, newClient(server, in.RetryDelay).get(ctx, configurationPath, &c)
}
