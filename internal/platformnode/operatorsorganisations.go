package platformnode

import (
	"cmp"
	"context"
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/httpapi/operators"
)

// organisationsView returns the organisations of the configuration in force.
func (n *Node) organisationsView(ctx context.Context) operators.OrganisationList {
	list := operators.OrganisationList{ConfigAgeMS: -1, Organisations: []operators.Organisation{}}
	if age, ok := n.configAge(time.Now()); ok {
		list.ConfigAgeMS = age.Milliseconds()
	}
	table := n.configs.Table.Load()
	if table == nil {
		return list
	}
	list.ConfigVersion = table.Version
	if table.Organisations == nil {
		return list
	}
	use := n.quota.FleetUse(ctx)
	waiting := n.jobs.WaitingByOrganisation(ctx)
	for _, o := range table.Organisations.All() {
		list.Organisations = append(list.Organisations, operators.Organisation{
			Name: string(o.Name), Priority: o.Priority, Keys: o.Keys, RequestsPerSecond: o.RequestsPerSecond, Burst: o.Burst,
			Use: use[o.Name].PerSecond, Refused: use[o.Name].Refused,
			WaitingTokens: waiting[o.Name].Tokens, OpenJobs: waiting[o.Name].Jobs,
		})
	}
	slices.SortFunc(list.Organisations, func(a, b operators.Organisation) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
