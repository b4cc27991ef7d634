package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Entries are the values of a configuration by their names. Keys of organisations are told
// by their digests.
type Entries map[string]string

// Change is a value that two configurations differ in. Before or After is empty if the one
// does not have it.
type Change struct {
	Name   string `json:"name"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Describe returns the values of a configuration but its version.
func Describe(d *Document) Entries {
	out := make(Entries)
	set := func(entry, field string, value any) { out[entry+": "+field] = fmt.Sprint(value) }
	set("limits", "header bytes", d.Limits.HeaderBytes)
	set("limits", "body bytes", d.Limits.BodyBytes)
	set("limits", "header timeout", d.Limits.HeaderTimeout)
	set("limits", "idle timeout", d.Limits.IdleTimeout)
	for _, r := range d.Routes {
		entry := routeEntry(r.Route) + " (" + r.Route.Host + r.Route.Prefix + ")"
		set(entry, "kind", r.Route.Kind)
		set(entry, "timeout", r.Route.Timeout)
		set(entry, "objective", r.Route.Objective)
		set(entry, "attempts", r.Route.MaxAttempts)
		set(entry, "resumed", r.Route.CanResume)
		set(entry, "public", r.Route.Public)
		set(entry, "priority", r.Route.Priority)
		set(entry, "sticky", r.Route.Sticky)
		set(entry, "due after", r.Route.DueAfter)
		set(entry, "abandoned after", r.Route.AbandonAfter)
		set(entry, "waiting tokens", r.Route.MaxQueuedTokens)
		for _, b := range r.Route.Backends {
			set(entry, "weight of "+string(b.Service), b.Weight)
		}
	}
	for _, o := range d.Organisations {
		entry := "organisation " + string(o.Organisation.Name)
		set(entry, "rate", o.Organisation.RequestsPerSecond)
		set(entry, "burst", o.Organisation.Burst)
		priority := "that of the route"
		if o.Organisation.Priority != nil {
			priority = fmt.Sprint(*o.Organisation.Priority)
		}
		set(entry, "priority", priority)
		set(entry, "keys", strings.Join(slices.Sorted(slices.Values(o.KeyDigests)), " "))
	}
	for _, s := range d.Services {
		set("service "+string(s.Name), "memory in tokens", s.Memory)
	}
	return out
}

// Diff returns what differs between two configurations, by name.
func Diff(before, after Entries) []Change {
	var out []Change
	for name, value := range before {
		if after[name] != value {
			out = append(out, Change{Name: name, Before: value, After: after[name]})
		}
	}
	for name, value := range after {
		if _, ok := before[name]; !ok {
			out = append(out, Change{Name: name, After: value})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
