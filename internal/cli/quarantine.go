package cli

import (
	"context"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"gentiantide.example/gentiantide/internal/httpapi/operators"
)

const quarantinePath = "/admin/v1/quarantine"

func (a *App) quarantineCommands() []subcommands.Command {
	return []subcommands.Command{
		&command{app: a, name: "list", synopsis: "show the parts of prompts that are refused", api: operatorsAPI,
			usage: "quarantine list: show the parts of prompts that crash backend servers, as known by the queried node.",
			run:   func(ctx context.Context, in *invocation) error { return in.listQuarantine(ctx) }},
		&command{app: a, name: "lift", synopsis: "release a part on all nodes", api: operatorsAPI, minArgs: 1, maxArgs: 1,
			usage: "quarantine lift PART: let requests with the part through again, on all nodes.",
			run:   func(ctx context.Context, in *invocation) error { return in.liftQuarantine(ctx) }},
	}
}

func (in *invocation) listQuarantine(ctx context.Context) error {
	if in.json {
		return in.printRaw(ctx, quarantinePath)
	}
	var list operators.QuarantineList
	if err := in.client.get(ctx, quarantinePath, &list); err != nil {
		return err
	}
	var rows [][]any
	for _, p := range list.Parts {
		remaining := (time.Duration(p.RemainingMS) * time.Millisecond).Round(time.Second)
		rows = append(rows, []any{p.Part, p.State, p.Round, p.Crashes, max(0, remaining), orDash(p.By)})
	}
	return in.printTable([]any{"PART", "STATE", "ROUND", "CRASHES", "TRIAL IN", "DECIDED BY"}, rows)
}

// liftQuarantine releases a part. The request is idempotent, but for its response to
// a part that has been released.
func (in *invocation) liftQuarantine(ctx context.Context) error {
	var list operators.QuarantineList
	body := map[string]string{"part": in.args[0]}
	if err := in.client.post(ctx, quarantinePath+"/lift", body, &list, "", false); err != nil {
		return err
	}
	if in.json {
		return in.printJSON(list)
	}
	_, err := fmt.Fprintf(in.Stdout, "%s: lifted\n", in.args[0])
	return err
}
