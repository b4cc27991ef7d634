package configcheck

import (
	"strings"
	"time"

	"gentiantide.example/gentiantide/internal/routetable"
)

func routeEntry(r *routetable.Route) string { return "route " + r.Name }

func checkRoutes(d *Document, out *report) {
	type place struct{ host, prefix string }
	places, names := make(map[place]*Route), make(map[string]int)
	for i := range d.Routes {
		r := &d.Routes[i]
		entry := routeEntry(r.Route)
		if first := places[place{r.Route.Host, r.Route.Prefix}]; first != nil {
			out.add(r.Line, SeverityError, entry, "can never match: %s on line %d has the same host and prefix", routeEntry(first.Route), first.Line)
		} else {
			places[place{r.Route.Host, r.Route.Prefix}] = r
		}
		if line, ok := names[r.Route.Name]; ok {
			out.add(r.Line, SeverityWarning, entry, "the name is also that of the route on line %d", line)
		} else {
			names[r.Route.Name] = r.Line
		}
		checkMatch(r, out)
		checkBackends(r, out)
		checkTimes(r, out)
		if d.Identified && len(d.Organisations) == 0 && !r.Route.Public {
			out.add(r.Line, SeverityWarning, entry, "serves nobody: it asks for a key, and no organisation has one")
		}
	}
}

func checkMatch(r *Route, out *report) {
	entry := routeEntry(r.Route)
	if !r.KindKnown {
		out.add(r.Line, SeverityError, entry, "its kind is unknown, so that its requests are never repeated")
	}
	switch {
	case r.Route.Host == "" || strings.ContainsAny(r.Route.Host, "/ :"):
		out.add(r.Line, SeverityError, entry, "can never match: %q is no host name", r.Route.Host)
	case !strings.HasPrefix(r.Route.Prefix, "/") || !strings.HasSuffix(r.Route.Prefix, "/"):
		out.add(r.Line, SeverityError, entry, "prefix %q does not begin and end with a slash", r.Route.Prefix)
	case strings.ContainsAny(r.Route.Prefix, "? #"):
		out.add(r.Line, SeverityError, entry, "can never match: no path contains all of %q", r.Route.Prefix)
	}
}

func checkBackends(r *Route, out *report) {
	entry, total := routeEntry(r.Route), 0
	for _, b := range r.Route.Backends {
		switch {
		case b.Weight < 0:
			out.add(r.Line, SeverityError, entry, "service %q has a negative weight", b.Service)
		case b.Weight == 0 && len(r.Route.Backends) > 1:
			out.add(r.Line, SeverityWarning, entry, "service %q has no weight and gets no requests", b.Service)
		}
		total += b.Weight
	}
	switch {
	case len(r.Route.Backends) == 0:
		out.add(r.Line, SeverityError, entry, "names no service")
	case total <= 0:
		out.add(r.Line, SeverityWarning, entry, "has no weights; %q gets all requests", r.Route.Backends[0].Service)
	}
}

// checkTimes looks for limits that contradict each other.
func checkTimes(r *Route, out *report) {
	entry, route := routeEntry(r.Route), r.Route
	later := func(what string, a time.Duration, than string, b time.Duration) {
		if a > 0 && b > 0 && a > b {
			out.add(r.Line, SeverityWarning, entry, "%s (%v) is longer than %s (%v)", what, a, than, b)
		}
	}
	later("the objective", route.Objective, "the timeout", route.Timeout)
	later("the time until items are due", route.DueAfter, "the time until they may be abandoned", route.AbandonAfter)
	if route.Kind == routetable.KindStream {
		later("the time that callers wait for an event", route.CallerIdleTimeout, "the timeout", route.Timeout)
	}
	if route.MaxAttempts < 1 {
		out.add(r.Line, SeverityError, entry, "allows %d attempts", route.MaxAttempts)
	}
	if route.CanResume && route.MaxAttempts == 1 {
		out.add(r.Line, SeverityWarning, entry, "may be resumed, but allows one attempt")
	}
	if route.Kind == routetable.KindBatch && route.DueAfter <= 0 {
		out.add(r.Line, SeverityWarning, entry, "its items are due at once")
	}
	if route.MaxQueuedTokens < 0 {
		out.add(r.Line, SeverityError, entry, "its limit of waiting tokens is negative")
	}
}
