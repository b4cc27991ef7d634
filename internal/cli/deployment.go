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
		&leaf{app: a, name: "list", synopsis: "list deployments", server: operatorsSide,
			usage: "deployment list: list deployments.", run: listDeployments},
		&leaf{app: a, name: "show", synopsis: "show a deployment's settings in force", server: operatorsSide, minArgs: 1, maxArgs: 1,
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
		&leaf{app: a, name: "create", synopsis: "create a deployment", server: operatorsSide, minArgs: 2, maxArgs: -1, flags: func(f *flagSet) { create.common(a, f) },
			usage: "deployment create ID kind=model model=NAME [KEY=VALUE...], or ID kind=plain route=/PATH/ ...: create a deployment.",
			run: func(ctx context.Context, in *invocation) error {
				path := deploymentPath(in.args[0])
				values, err := assignments(path, in.args[1:])
				if err != nil {
					return err
				}
				create.base = 0
				return in.edit(ctx, settings.Change{Path: path, Set: values}, create)
			}},
		&leaf{app: a, name: "delete", synopsis: "delete a deployment", server: operatorsSide, minArgs: 1, maxArgs: 1, flags: remove.set(a),
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
		address := node.Values["model"]
		if address == nil {
			address = node.Values["route"]
		}
		rows = append(rows, []any{strings.TrimPrefix(path, settings.ServicesPath+"/"), unquote(node.Values["kind"]), unquote(address), fmt.Sprint(node.Version)})
	}
	if in.json {
		return in.printJSON(append([]settings.Explanation{}, found...))
	}
	return in.table([]any{"ID", "KIND", "MODEL OR ROUTE", "VERSION"}, rows)
}

func unquote(raw []byte) string { return strings.Trim(string(raw), `"`) }
