package routetable

import (
	"sort"
	"strings"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Table is one version of the routing configuration.
type Table struct {
	Version int64
	Limits  Limits
	// Organisations are nil if the configuration names none. Then callers need no key.
	Organisations *Organisations
	// Memory is the number of tokens that a replica of a service holds, where the
	// configuration names it. It must not be changed.
	Memory map[core.DeploymentID]int
	byHost map[string][]*Route // longest prefix first
}

// NewTable returns a table of the given routes. Of two routes with the same host
// and prefix the first one is used.
func NewTable(version int64, limits Limits, routes []*Route) *Table {
	t := &Table{
		Version: version,
		Limits:  limits,
		byHost:  make(map[string][]*Route),
	}
	for _, r := range routes {
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, list := range t.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// Match returns the host's route with the longest prefix that matches the path,
// or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Len returns the number of routes.
func (t *Table) Len() int {
	n := 0
	for _, list := range t.byHost {
		n += len(list)
	}
	return n
}

// LongestResumable returns the longest timeout of the routes whose streams callers may
// take up.
func (t *Table) LongestResumable() time.Duration {
	longest := time.Duration(0)
	for _, list := range t.byHost {
		for _, r := range list {
			if r.Kind == KindStream && r.CanResume {
				longest = max(longest, r.Timeout)
			}
		}
	}
	return longest
}
