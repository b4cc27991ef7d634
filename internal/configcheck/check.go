package configcheck

import (
	"cmp"
	"slices"
)

// Check returns what is wrong with a configuration, by line.
func Check(d *Document) []Finding {
	var out report
	if d.Version <= 0 {
		out.add(1, SeverityError, "configuration", "version %d is not positive", d.Version)
	}
	checkLimits(d, &out)
	checkRoutes(d, &out)
	checkServices(d, &out)
	checkOrganisations(d, &out)
	slices.SortStableFunc(out, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return out
}

func checkLimits(d *Document, out *report) {
	if d.Limits.HeaderBytes < 0 || d.Limits.BodyBytes < 0 || d.Limits.HeaderTimeout < 0 || d.Limits.IdleTimeout < 0 {
		out.add(1, SeverityError, "limits", "a limit is negative")
	}
}

func checkOrganisations(d *Document, out *report) {
	holders, names := make(map[string]string), make(map[string]int)
	for _, o := range d.Organisations {
		name := string(o.Organisation.Name)
		entry := "organisation " + name
		if line, ok := names[name]; ok {
			out.add(o.Line, SeverityError, entry, "the name is taken by the organisation on line %d", line)
		} else {
			names[name] = o.Line
		}
		if name == "" {
			out.add(o.Line, SeverityError, entry, "has no name")
		}
		if len(o.KeyDigests) == 0 {
			out.add(o.Line, SeverityWarning, entry, "has no keys, so that none of its callers is served")
		}
		for _, key := range o.KeyDigests {
			if holder, ok := holders[key]; ok {
				out.add(o.Line, SeverityError, entry, "key %s is also one of %s, which gets its requests", key, holder)
				continue
			}
			holders[key] = entry
		}
		switch {
		case o.Organisation.RequestsPerSecond < 0 || o.Organisation.Burst < 0:
			out.add(o.Line, SeverityError, entry, "its limit is negative")
		case !o.Organisation.Limited() && o.Organisation.Burst > 0:
			out.add(o.Line, SeverityWarning, entry, "has a burst of %g without a rate, so that it is not limited", o.Organisation.Burst)
		}
	}
}

func checkServices(d *Document, out *report) {
	used, known := make(map[string]bool), make(map[string]bool)
	for _, r := range d.Routes {
		for _, b := range r.Route.Backends {
			used[string(b.Service)] = true
		}
	}
	for _, s := range d.Services {
		name := string(s.Name)
		if known[name] {
			out.add(s.Line, SeverityError, "service "+name, "is named twice")
		}
		if known[name] = true; !used[name] {
			out.add(s.Line, SeverityWarning, "service "+name, "no route uses it")
		}
	}
	if len(d.Services) == 0 {
		return
	}
	for _, r := range d.Routes {
		for _, b := range r.Route.Backends {
			if !known[string(b.Service)] {
				out.add(r.Line, SeverityError, routeEntry(r.Route), "service %q is not among the services", b.Service)
			}
		}
	}
}
