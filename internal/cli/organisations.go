package cli

import (
	"context"
	"fmt"
	"strconv"

	"github.com/google/subcommands"

	"gentiantide.example/gentiantide/internal/httpapi/operators"
)

const organisationsPath = "/admin/v1/organisations"

func (a *App) organisationsCommand() subcommands.Command {
	return &command{app: a, name: "organisations", synopsis: "show organisations and their limits", api: operatorsAPI,
		usage: "organisations: show the organisations of the configuration with their limits and waiting tokens, as known by the queried node.",
		run:   func(ctx context.Context, in *invocation) error { return in.listOrganisations(ctx) }}
}

func (in *invocation) listOrganisations(ctx context.Context) error {
	if in.json {
		return in.printRaw(ctx, organisationsPath)
	}
	var list operators.OrganisationList
	if err := in.client.get(ctx, organisationsPath, &list); err != nil {
		return err
	}
	var rows [][]any
	for _, o := range list.Organisations {
		priority, limit, use := "-", "-", "-"
		if o.Priority != nil {
			priority = strconv.Itoa(*o.Priority)
		}
		if o.RequestsPerSecond > 0 {
			limit = fmt.Sprintf("%g/s + %g", o.RequestsPerSecond, o.Burst)
			use = fmt.Sprintf("%.1f/s", o.Use)
		}
		rows = append(rows, []any{o.Name, priority, o.Keys, limit, use, o.Refused, o.OpenJobs, o.WaitingTokens})
	}
	return in.printTable([]any{"ORGANISATION", "PRIORITY", "KEYS", "LIMIT", "USE", "REFUSED", "OPEN JOBS", "WAITING TOKENS"}, rows)
}
