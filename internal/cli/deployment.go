package cli

import (
	"context"
	"fmt"
	"strings"

	"github.com/google/subcommands"

	"gentiantide.example/gentiantide/internal/settings"
)

func deploymentPath(id string) string { return settings.ServicesPath + "/" + id }

func (a *App) deploymentCommands() []subcommands.Command {
	var create, remove editFlags
	return []subcommands.Command{
		&command{app: a, name: "list", synopsis: "list deployments", api: operatorsAPI,
			usage: "deployment list: list deployments.", run: listDeployments},
		&command{app: a, name: "show", synopsis: "show a deployment's settings in force", api: operatorsAPI, minArgs: 1, maxArgs: 1,
			usage: "deployment show ID: show the settings in force and where each comes from.",
			run: func(ctx context.Context, in *invocation) error {
				node, err := in.explain(ctx, deploymentPath(in.args[0]), true)
				if err != nil {
					return err
				}
				if node.Values["kind"] == nil {
					return refusedf("there is no deployment %s", in.args[0])
				}
				return in.printNode(node)
			}},
		&command{app: a, name: "create", synopsis: "create a deployment", api: operatorsAPI, minArgs: 2, maxArgs: -1, flags: func(f *flagSet) { create.registerCommon(a, f) },
			usage: "deployment create ID kind=model model=NAME [KEY=VALUE...], or ID kind=plain route=/PATH/ ...: create a deployment.",
			run: func(ctx context.Context, in *invocation) error {
				path := deploymentPath(in.args[0])
				values, err := parseAssignments(path, in.args[1:])
				if err != nil {
					return err
				}
				create.base = 0
				return in.edit(ctx, settings.Change{Path: path, Set: values}, create)
			}},
		&command{app: a, name: "delete", synopsis: "delete a deployment", api: operatorsAPI, minArgs: 1, maxArgs: 1, flags: remove.registerAll(a),
			usage: "deployment delete [-base N] ID: delete a deployment.",
			run: func(ctx context.Context, in *invocation) error {
				return in.edit(ctx, settings.Change{Path: deploymentPath(in.args[0]), Delete: true}, remove)
			}},
	}
}

func listDeployments(ctx context.Context, in *invocation) error {
	services, err := in.explain(ctx, settings.ServicesPath, false)
	if err != nil {
		return err
	}
	var found []settings.Explanation
	var rows [][]any
	for _, path := range services.Children {
		node, err := in.explain(ctx, path, false)
		if err != nil {
			return err
		}
		if node.Values["kind"] == nil {
			continue
		}
		found = append(found, node)
		target := node.Values["model"]
		if target == nil {
			target = node.Values["route"]
		}
		rows = append(rows, []any{strings.TrimPrefix(path, settings.ServicesPath+"/"), unquote(node.Values["kind"]), unquote(target), fmt.Sprint(node.Version)})
	}
	if in.json {
		return in.printJSON(append([]settings.Explanation{}, found...))
	}
	return in.printTable([]any{"ID", "KIND", "MODEL OR ROUTE", "VERSION"}, rows)
}

// unquote strips the quotes from a JSON string.
func unquote(raw []byte) string { return strings.Trim(string(raw), `"`) }
