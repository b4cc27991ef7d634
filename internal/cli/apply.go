package cli

import (
	"bytes"
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"gentiantide.example/gentiantide/internal/settings"
)

// pathResult is the result for one path of a settings document.
type pathResult struct {
	Path string `json:"path"`
	// State is "changed", "unchanged", "would change", "failed" or "not tried".
	State   string `json:"state"`
	Version uint64 `json:"version"`
}

func (a *App) applyCommand() subcommands.Command {
	var edit editFlags
	return &command{app: a, name: "apply", synopsis: "apply a settings document", api: operatorsAPI, minArgs: 1, maxArgs: 1,
		flags: func(f *flag.FlagSet) { edit.registerCommon(a, f) },
		usage: "settings apply [-dry-run] FILE: set the keys of each path of a document {\"/path\": {\"key\": value}}, one change per path, " +
			"based on the versions read at the start. Keys that the document does not name are kept. It stops at the first change that the server refuses.",
		run: func(ctx context.Context, in *invocation) error {
			nodes, err := readDocument(in.args[0])
			if err != nil {
				return err
			}
			return in.applyDocument(ctx, nodes, edit)
		}}
}

// applyDocument reads the versions of all paths and then sends one change per
// path, up to the first error.
func (in *invocation) applyDocument(ctx context.Context, nodes []settings.DocumentNode, edit editFlags) error {
	results := make([]pathResult, len(nodes))
	current := make([]settings.Explanation, len(nodes))
	var err error
	for i, node := range nodes {
		results[i] = pathResult{Path: node.Path, State: "not tried"}
		if current[i], err = in.explain(ctx, node.Path, false); err != nil {
			return err
		}
	}
	for i, node := range nodes {
		if results[i], err = in.applyNode(ctx, node, current[i], edit); err != nil {
			break
		}
	}
	if printErr := in.printApplied(results); err == nil {
		err = printErr
	}
	return err
}

func (in *invocation) applyNode(ctx context.Context, node settings.DocumentNode, current settings.Explanation, edit editFlags) (pathResult, error) {
	out := pathResult{Path: node.Path, State: "unchanged", Version: current.Version}
	if !differs(node, current) {
		return out, nil
	}
	result, err := in.send(ctx, settings.Change{Path: node.Path, BaseVersion: current.Version, Set: node.Set}, edit)
	if err != nil {
		out.State = "failed"
		return out, err
	}
	out.State, out.Version = "changed", result.Version
	if edit.dryRun {
		out.State = "would change"
	}
	return out, nil
}

// differs reports whether applying the document node changes the current one.
func differs(node settings.DocumentNode, current settings.Explanation) bool {
	for key, raw := range node.Set {
		if !bytes.Equal(raw, current.Values[key]) {
			return true
		}
	}
	return !current.Exists
}

func (in *invocation) printApplied(results []pathResult) error {
	if in.json {
		return in.printJSON(results)
	}
	var rows [][]any
	for _, r := range results {
		rows = append(rows, []any{r.Path, r.State, fmt.Sprint(r.Version)})
	}
	return in.printTable([]any{"PATH", "STATE", "VERSION"}, rows)
}
