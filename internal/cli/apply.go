package cli

import (
	"bytes"
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"gentiantide.example/gentiantide/internal/settings"
)

// applied is what became of one path of a document.
type applied struct {
	Path string `json:"path"`
	// State is "changed", "unchanged", "would change", "failed" or "not tried".
	State   string `json:"state"`
	Version uint64 `json:"version"`
}

func (a *App) applyCommand() subcommands.Command {
	var edit editFlags
	return &leaf{app: a, name: "apply", synopsis: "apply a settings document", server: operatorsSide, minArgs: 1, maxArgs: 1,
		flags: func(f *flag.FlagSet) { edit.common(a, f) },
		usage: "settings apply [-dry-run] FILE: set the keys of each path of a document {\"/path\": {\"key\": value}}, one change a path, " +
			"based on the versions read at the start. Keys that the document does not name stay. It stops at the first refusal.",
		run: func(ctx context.Context, in *invocation) error {
			nodes, err := readDocument(in.args[0])
			if err != nil {
				return err
			}
			return in.applyDocument(ctx, nodes, edit)
		}}
}

// applyDocument reads all versions first and then sends one change a path.
func (in *invocation) applyDocument(ctx context.Context, nodes []settings.DocumentNode, edit editFlags) error {
	report := make([]applied, len(nodes))
	read := make([]settings.Explanation, len(nodes))
	var err error
	for i, node := range nodes {
		report[i] = applied{Path: node.Path, State: "not tried"}
		if read[i], err = in.explain(ctx, node.Path, false); err != nil {
			return err
		}
	}
	for i, node := range nodes {
		if report[i], err = in.applyNode(ctx, node, read[i], edit); err != nil {
			break
		}
	}
	if printErr := in.printApplied(report); err == nil {
		err = printErr
	}
	return err
}

func (in *invocation) applyNode(ctx context.Context, node settings.DocumentNode, read settings.Explanation, edit editFlags) (applied, error) {
	out := applied{Path: node.Path, State: "unchanged", Version: read.Version}
	if !differs(node, read) {
		return out, nil
	}
	result, err := in.send(ctx, settings.Change{Path: node.Path, BaseVersion: read.Version, Set: node.Set}, edit)
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

func differs(node settings.DocumentNode, read settings.Explanation) bool {
	for key, raw := range node.Set {
		if !bytes.Equal(raw, read.Values[key]) {
			return true
		}
	}
	return !read.Exists
}

func (in *invocation) printApplied(report []applied) error {
	if in.json {
		return in.printJSON(report)
	}
	var rows [][]any
	for _, r := range report {
		rows = append(rows, []any{r.Path, r.State, fmt.Sprint(r.Version)})
	}
	return in.table([]any{"PATH", "STATE", "VERSION"}, rows)
}
