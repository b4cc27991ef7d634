package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"gentiantide.example/gentiantide/internal/httpapi/operators"
)

type flagSet = flag.FlagSet

// unavailableTimeout is how long a command that waits tolerates an unavailable
// server.
const unavailableTimeout = time.Minute

func (a *App) drainCommand() subcommands.Command {
	var undo, wait bool
	var author string
	return &command{app: a, name: "drain", synopsis: "take a backend server out of service", api: operatorsAPI, minArgs: 1, maxArgs: 1,
		usage: "drain [-undo | -wait] BACKEND: take a backend server out of service; work in progress finishes.",
		flags: func(f *flagSet) {
			f.BoolVar(&undo, "undo", false, "put it back into service")
			f.BoolVar(&wait, "wait", false, "wait until it has no work in progress")
			f.StringVar(&author, "author", a.Getenv("USER"), "name of the author in the history")
		},
		run: func(ctx context.Context, in *invocation) error {
			if undo && wait {
				return usagef("-undo and -wait cannot be combined")
			}
			if err := in.drain(ctx, !undo, author); err != nil || !wait {
				return err
			}
			return in.waitDrained(ctx)
		}}
}

// drain sets the drain state of a backend server. The request is idempotent.
func (in *invocation) drain(ctx context.Context, drain bool, author string) error {
	body := map[string]any{"backend": in.args[0], "drain": drain}
	if author != "" {
		body["author"] = author
	}
	var out struct {
		Version uint64 `json:"version"`
		Changed bool   `json:"changed"`
	}
	if err := in.client.post(ctx, "/admin/v1/drain", body, &out, "", true); err != nil {
		return err
	}
	if in.json {
		return in.printJSON(out)
	}
	_, err := fmt.Fprintf(in.Stdout, "%s: drain %v, settings version %d\n", in.args[0], drain, out.Version)
	return err
}

// waitDrained waits until the fleet list shows the backend server as drained and
// without work, or no longer contains it.
func (in *invocation) waitDrained(ctx context.Context) error {
	return in.poll(ctx, func() (bool, error) {
		var fleet operators.Fleet
		if err := in.client.get(ctx, "/admin/v1/fleet", &fleet); err != nil {
			return false, err
		}
		for _, b := range fleet.Backends {
			if b.ID == in.args[0] {
				return b.Drain && b.InFlight == 0 && b.Queued == 0, nil
			}
		}
		return true, nil
	})
}

// poll calls check every PollInterval until it reports done. It tolerates a
// server that stays unavailable for up to unavailableTimeout.
func (in *invocation) poll(ctx context.Context, check func() (done bool, err error)) error {
	lastSuccess := time.Now()
	for {
		done, err := check()
		switch {
		case err == nil && done:
			return nil
		case err == nil:
			lastSuccess = time.Now()
		case exitCode(err) != exitUnavailable || time.Since(lastSuccess) > unavailableTimeout:
			return err
		}
		if !sleep(ctx, in.PollInterval) {
			return unavailablef("interrupted while waiting; the outcome is unknown")
		}
	}
}

func (a *App) fleetCommand() subcommands.Command {
	return &command{app: a, name: "fleet", synopsis: "show nodes and backend servers", api: operatorsAPI,
		usage: "fleet: show nodes and backend servers with state and reason, as seen by the queried node.",
		run: func(ctx context.Context, in *invocation) error {
			if in.json {
				return in.printRaw(ctx, "/admin/v1/fleet")
			}
			var fleet operators.Fleet
			if err := in.client.get(ctx, "/admin/v1/fleet", &fleet); err != nil {
				return err
			}
			var rows [][]any
			for _, n := range fleet.Nodes {
				rows = append(rows, []any{n.ID, n.DataCentre, n.State, n.SettingsVersion, orDash(n.Reason)})
			}
			if err := in.printTable([]any{"NODE", "DATA CENTRE", "STATE", "SETTINGS", "REASON"}, rows); err != nil {
				return err
			}
			_, _ = fmt.Fprintln(in.Stdout)
			rows = nil
			for _, b := range fleet.Backends {
				rows = append(rows, []any{b.ID, b.Deployment, b.DataCentre, b.State, fmt.Sprintf("%d/%d", b.InFlight, b.Slots), b.Queued, orDash(b.Reason)})
			}
			return in.printTable([]any{"BACKEND SERVER", "DEPLOYMENT", "DATA CENTRE", "STATE", "IN FLIGHT", "QUEUED", "REASON"}, rows)
		}}
}

func (a *App) dumpCommand() subcommands.Command {
	return &command{app: a, name: "dump", synopsis: "show the state of a node as JSON", api: operatorsAPI,
		usage: "dump: show the state of the queried node as JSON.",
		run:   func(ctx context.Context, in *invocation) error { return in.printRaw(ctx, "/admin/v1/dump") }}
}

// printRaw prints a JSON response with all its fields, including those unknown to
// this program.
func (in *invocation) printRaw(ctx context.Context, path string) error {
	var raw json.RawMessage
	if err := in.client.get(ctx, path, &raw); err != nil {
		return err
	}
	return in.printJSON(raw)
}

func (a *App) versionCommand() subcommands.Command {
	return &command{app: a, name: "version", synopsis: "show the versions of this program and of the server", api: operatorsAPI,
		usage: "version: show the version of this program and, if a server is given, that of the node.",
		run: func(ctx context.Context, in *invocation) error {
			out := map[string]string{"client": in.Version}
			if in.client != nil {
				var server struct {
					Version string `json:"version"`
				}
				if err := in.client.get(ctx, "/admin/v1/version", &server); err != nil {
					return err
				}
				out["server"] = server.Version
			}
			if in.json {
				return in.printJSON(out)
			}
			_, _ = fmt.Fprintf(in.Stdout, "client %s\n", out["client"])
			if out["server"] != "" {
				_, _ = fmt.Fprintf(in.Stdout, "server %s\n", out["server"])
			}
			return nil
		}}
}
