package routes

import (
	"sort"
	"strings"
)

// Table is one version of the configuration.
type Table struct {
	Version int64
	Limits  Limits
	hosts   map[string][]*Route
}

// NewTable returns a table of the given routes.
func NewTable(version int64, limits Limits, all []*Route) *Table {
	t := &Table{
		Version: version,
		Limits:  limits,
		hosts:   make(map[string][]*Route),
	}
	for _, r := range all {
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return t
}

// Match returns the route with the longest prefix of the path, or nil.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Len returns the number of routes.
func (t *Table) Len() int {
	n := 0
	for _, list := range t.hosts {
		n += len(list)
	}
	return n
}
