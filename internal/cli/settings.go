package cli

import (
	"context"
	"flag"
	"fmt"
	"net/url"
	"os"
	"strings"

	"github.com/google/subcommands"
	"github.com/pkg/errors"

	"gentiantide.example/gentiantide/internal/settings"
)

const settingsEndpoint = "/admin/v1/settings"

// editFlags are the flags of commands that change the settings tree.
type editFlags struct {
	base   int64
	dryRun bool
	author string
}

// registerAll returns a function that registers -base and the common flags.
func (e *editFlags) registerAll(app *App) func(*flag.FlagSet) {
	return func(f *flag.FlagSet) {
		f.Int64Var(&e.base, "base", -1, "version of the node that the change is based on; default: the current version")
		e.registerCommon(app, f)
	}
}

// registerCommon registers the flags that every change takes.
func (e *editFlags) registerCommon(app *App, f *flag.FlagSet) {
	f.BoolVar(&e.dryRun, "dry-run", false, "show what would change without changing it")
	f.StringVar(&e.author, "author", app.Getenv("USER"), "name of the author in the history")
}

func (a *App) settingsCommands() []subcommands.Command {
	return []subcommands.Command{a.getCommand(), a.setCommand(), a.unsetCommand(), a.checkCommand(), a.applyCommand(), a.historyCommand(), a.keysCommand()}
}

func (a *App) getCommand() subcommands.Command {
	explain := false
	return &command{app: a, name: "get", synopsis: "show a node of the tree", api: operatorsAPI, maxArgs: 1,
		usage: "settings get [-explain] [PATH]: show the node's own values, or the values in force and where each comes from.",
		flags: func(f *flag.FlagSet) {
			f.BoolVar(&explain, "explain", false, "show the values in force and where each comes from")
		},
		run: func(ctx context.Context, in *invocation) error {
			path := settings.RootPath
			if len(in.args) > 0 {
				path = in.args[0]
			}
			node, err := in.explain(ctx, path, explain)
			if err != nil {
				return err
			}
			return in.printNode(node)
		}}
}

// explain reads a node of the tree; effective also asks for the values in force.
func (in *invocation) explain(ctx context.Context, path string, effective bool) (settings.Explanation, error) {
	var out settings.Explanation
	if _, err := settings.PathKind(path); err != nil {
		return out, usagef("%v", err)
	}
	query := url.Values{"path": {path}}
	if effective {
		query.Set("explain", "true")
	}
	err := in.client.get(ctx, settingsEndpoint+"?"+query.Encode(), &out)
	return out, err
}

func (in *invocation) printNode(node settings.Explanation) error {
	if in.json {
		return in.printJSON(node)
	}
	state := fmt.Sprintf("version %d", node.Version)
	if !node.Exists {
		state = "not set"
	}
	if !node.Confirmed {
		state += ", not confirmed by the table service"
	}
	_, _ = fmt.Fprintf(in.Stdout, "%s (%s)\n", node.Path, state)
	var rows [][]any
	if node.Effective != nil {
		for _, e := range node.Effective {
			rows = append(rows, []any{e.Key, string(e.Value), e.From})
		}
		return in.printTable([]any{"KEY", "VALUE", "FROM"}, rows)
	}
	for _, key := range settings.Schema() {
		if raw, ok := node.Values[key.Name]; ok {
			rows = append(rows, []any{key.Name, string(raw)})
		}
	}
	if err := in.printTable([]any{"KEY", "VALUE"}, rows); err != nil {
		return err
	}
	for _, child := range node.Children {
		_, _ = fmt.Fprintln(in.Stdout, child)
	}
	return nil
}

func (a *App) setCommand() subcommands.Command {
	var edit editFlags
	return &command{app: a, name: "set", synopsis: "set keys of a node", api: operatorsAPI, minArgs: 1, maxArgs: -1, flags: edit.registerAll(a),
		usage: "settings set [-base N] [-dry-run] PATH KEY=VALUE...: set keys; without KEY=VALUE, create an empty group.",
		run: func(ctx context.Context, in *invocation) error {
			values, err := parseAssignments(in.args[0], in.args[1:])
			if err != nil {
				return err
			}
			return in.edit(ctx, settings.Change{Path: in.args[0], Set: values}, edit)
		}}
}

// parseAssignments parses and checks KEY=VALUE arguments before any request is
// sent.
func parseAssignments(path string, args []string) (settings.Values, error) {
	values := settings.Values{}
	for _, arg := range args {
		key, text, ok := strings.Cut(arg, "=")
		if !ok {
			return nil, usagef("%q is not KEY=VALUE", arg)
		}
		raw, err := settings.ParseAssignment(path, key, text)
		if err != nil {
			return nil, refusedf("%v", err)
		}
		if _, duplicate := values[key]; duplicate {
			return nil, usagef("duplicate key %q", key)
		}
		values[key] = raw
	}
	return values, nil
}

func (a *App) unsetCommand() subcommands.Command {
	var edit editFlags
	return &command{app: a, name: "unset", synopsis: "remove keys of a node, so that it inherits them", api: operatorsAPI, minArgs: 2, maxArgs: -1, flags: edit.registerAll(a),
		usage: "settings unset [-base N] [-dry-run] PATH KEY...: remove keys, so that the node inherits them.",
		run: func(ctx context.Context, in *invocation) error {
			return in.edit(ctx, settings.Change{Path: in.args[0], Unset: in.args[1:]}, edit)
		}}
}

// edit sends one change, based on the version given by -base or else on the
// current one.
func (in *invocation) edit(ctx context.Context, change settings.Change, edit editFlags) error {
	if edit.base >= 0 {
		change.BaseVersion = uint64(edit.base)
	} else {
		node, err := in.explain(ctx, change.Path, false)
		if err != nil {
			return err
		}
		change.BaseVersion = node.Version
	}
	result, err := in.send(ctx, change, edit)
	if err != nil {
		return err
	}
	return in.printResult(change.Path, result)
}

// send posts a change. The request is retried only if the server certainly did
// not run it: a retry after a lost response would be refused as a conflict with
// the change that the first request made. Dry runs are idempotent.
func (in *invocation) send(ctx context.Context, change settings.Change, edit editFlags) (settings.Result, error) {
	change.Author = edit.author
	body := map[string]any{"path": change.Path, "base_version": change.BaseVersion, "dry_run": edit.dryRun}
	if change.Author != "" {
		body["author"] = change.Author
	}
	if len(change.Set) > 0 {
		body["set"] = change.Set
	}
	if len(change.Unset) > 0 {
		body["unset"] = change.Unset
	}
	if change.Delete {
		body["delete"] = true
	}
	var result settings.Result
	err := in.client.post(ctx, settingsEndpoint, body, &result, "", edit.dryRun)
	return result, err
}

func (in *invocation) printResult(path string, result settings.Result) error {
	if in.json {
		return in.printJSON(result)
	}
	label := "version"
	if result.DryRun {
		label = "dry run, would be version"
	}
	_, _ = fmt.Fprintf(in.Stdout, "%s: %s %d\n", path, label, result.Version)
	var rows [][]any
	for _, e := range result.Effects {
		rows = append(rows, []any{e.Path, e.Key, orDash(string(e.Before)), orDash(string(e.After))})
	}
	if len(rows) == 0 {
		return nil
	}
	return in.printTable([]any{"PATH", "KEY", "BEFORE", "AFTER"}, rows)
}

func orDash(text string) string {
	if text == "" || text == "null" {
		return "-"
	}
	return text
}

func (a *App) checkCommand() subcommands.Command {
	return &command{app: a, name: "check", synopsis: "check a settings document", minArgs: 1, maxArgs: -1,
		usage: "settings check FILE...: check documents {\"/path\": {\"key\": value}} without a server.",
		run: func(_ context.Context, in *invocation) error {
			for _, file := range in.args {
				if _, err := readDocument(file); err != nil {
					return err
				}
			}
			if in.json {
				return in.printJSON(map[string]bool{"ok": true})
			}
			_, _ = fmt.Fprintln(in.Stdout, "ok")
			return nil
		}}
}

func readDocument(file string) ([]settings.DocumentNode, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "settings document")
	}
	nodes, err := settings.ParseDocument(file, data)
	if err != nil {
		return nil, refusedf("%v", err)
	}
	return nodes, nil
}

func (a *App) keysCommand() subcommands.Command {
	return &command{app: a, name: "keys", synopsis: "list all keys with type, range and default",
		usage: "settings keys: list all keys with type, unit, range, default and the nodes that may set them.",
		run: func(_ context.Context, in *invocation) error {
			if in.json {
				return in.printJSON(settings.Schema())
			}
			_, err := fmt.Fprint(in.Stdout, settings.Reference())
			return err
		}}
}

func (a *App) historyCommand() subcommands.Command {
	limit := 20
	return &command{app: a, name: "history", synopsis: "show accepted changes, newest first", api: operatorsAPI, maxArgs: 1,
		usage: "settings history [-limit N] [PATH]: show accepted changes, newest first.",
		flags: func(f *flag.FlagSet) { f.IntVar(&limit, "limit", 20, "number of changes, 1 to 1000") },
		run: func(ctx context.Context, in *invocation) error {
			query := url.Values{"limit": {fmt.Sprint(limit)}}
			if len(in.args) > 0 {
				query.Set("path", in.args[0])
			}
			var out struct {
				Entries []settings.Entry `json:"entries"`
			}
			if err := in.client.get(ctx, settingsEndpoint+"/history?"+query.Encode(), &out); err != nil {
				return err
			}
			if in.json {
				return in.printJSON(out)
			}
			return in.printHistory(out.Entries)
		}}
}

func (in *invocation) printHistory(entries []settings.Entry) error {
	var rows [][]any
	for _, e := range entries {
		var parts []string
		for _, key := range settings.Schema() {
			if raw, ok := e.Set[key.Name]; ok {
				parts = append(parts, key.Name+"="+string(raw))
			}
		}
		for _, key := range e.Unset {
			parts = append(parts, "-"+key)
		}
		if e.Deleted {
			parts = append(parts, "deleted")
		}
		rows = append(rows, []any{e.Version, e.Time.Format("2006-01-02T15:04:05Z"), orDash(e.Author), e.Path, strings.Join(parts, " ")})
	}
	return in.printTable([]any{"VERSION", "TIME", "AUTHOR", "PATH", "CHANGE"}, rows)
}
