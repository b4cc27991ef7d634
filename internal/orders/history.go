package orders

import (
	"slices"
	"time"

	"gentiantide.example/gentiantide/internal/backend"
)

// History holds the orders sent to one engine whose effect is not certain yet.
// Orders that differ only in their fencing number share one entry.
type History []SentOrder

// key returns the order without its fencing number, to compare orders by.
func key(o backend.Order) backend.Order {
	o.FencingNumber = 0
	return o
}

func (h History) find(o backend.Order) (SentOrder, bool) {
	i := slices.IndexFunc(h, func(s SentOrder) bool { return key(s.Order) == key(o) })
	if i < 0 {
		return SentOrder{}, false
	}
	return h[i], true
}

func (h History) without(o backend.Order) History {
	return slices.DeleteFunc(slices.Clone(h), func(s SentOrder) bool { return key(s.Order) == key(o) })
}

// Record returns the history after an order was sent. An accepted unload
// cancels a load of the same model that may have been running.
func (h History) Record(o backend.Order, ended time.Time, outcome Outcome) History {
	previous, _ := h.find(o)
	next := h.without(o)
	if o.Kind == backend.OrderUnload && outcome == OutcomeAccepted {
		load := o
		load.Kind = backend.OrderLoad
		next = next.without(load)
	}
	return append(next, SentOrder{Order: o, Ended: ended, Outcome: outcome, Attempts: previous.Attempts + 1})
}

// Prune returns the history without the orders whose effect the report shows
// and without those that are too old to matter. A load that the engine has lost
// becomes OutcomeNotRun.
func (h History) Prune(r Report, honoursFencing bool, c Config, now time.Time) History {
	next := slices.Clone(h)
	for i, s := range next {
		if s.Order.Kind == backend.OrderLoad && s.mayBeAccepted() && s.lostByEngine(r, honoursFencing, c.MaxReportLag) {
			next[i].Outcome = OutcomeNotRun
		}
	}
	return slices.DeleteFunc(next, func(s SentOrder) bool {
		if now.Sub(s.Ended) > c.LoadTimeout+c.BackoffMax {
			return true
		}
		switch s.Order.Kind {
		case backend.OrderLoad:
			return r.Received.After(s.Ended) && r.listsModel(modelOf(s.Order))
		case backend.OrderUnload:
			return r.reflects(s.Ended, c.MaxReportLag) && !r.listsModel(modelOf(s.Order))
		default:
			return r.reflects(s.Ended, c.MaxReportLag) && r.Load.Role == s.Order.Role
		}
	})
}
