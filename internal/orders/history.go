package orders

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/backend"
)

// History holds the orders sent to one engine whose effect is not yet certain,
// one entry for each order regardless of its number.
type History []Sent

// key returns an order without its number.
func key(o backend.Order) backend.Order {
	o.FencingNumber = 0
	return o
}

func (h History) find(o backend.Order) (Sent, bool) {
	i := slices.IndexFunc(h, func(s Sent) bool { return key(s.Order) == key(o) })
	if i < 0 {
		return Sent{}, false
	}
	return h[i], true
}

func (h History) without(o backend.Order) History {
	return slices.DeleteFunc(slices.Clone(h), func(s Sent) bool { return key(s.Order) == key(o) })
}

// Record returns the history after an order. An unload that was taken ends a
// load of the same model that may have been running.
func (h History) Record(o backend.Order, ended time.Time, outcome Outcome) History {
	previous, _ := h.find(o)
	next := h.without(o)
	if o.Kind == backend.OrderUnload && outcome == OutcomeTaken {
		load := o
		load.Kind = backend.OrderLoad
		next = next.without(load)
	}
	return append(next, Sent{Order: o, Ended: ended, Outcome: outcome, Tries: previous.Tries + 1})
}

// Prune returns the history without the orders whose effect the report shows
// and without those that are too old to matter. A load that the engine no
// longer knows of has not run.
func (h History) Prune(r Report, honours bool, c Config, now time.Time) History {
	next := slices.Clone(h)
	for i, s := range next {
		if s.Order.Kind == backend.OrderLoad && s.mayRun() && s.lost(r, honours, c.LagBound) {
			next[i].Outcome = OutcomeNotRun
		}
	}
	return slices.DeleteFunc(next, func(s Sent) bool {
		if now.Sub(s.Ended) > c.LoadTimeout+c.BackoffMax {
			return true
		}
		switch s.Order.Kind {
		case backend.OrderLoad:
			return r.Received.After(s.Ended) && r.lists(modelOf(s.Order))
		case backend.OrderUnload:
			return r.shows(s.Ended, c.LagBound) && !r.lists(modelOf(s.Order))
		default:
			return r.shows(s.Ended, c.LagBound) && r.Load.Role == s.Order.Role
		}
	})
}
