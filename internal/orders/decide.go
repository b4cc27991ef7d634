package orders

import (
	"time"

	"gentiantide.example/gentiantide/internal/backend"
)

// Input holds everything that a decision depends on.
type Input struct {
	Desired Desired
	Report  Report
	History History
	// OwnedSince is when this node became the owner of the replica.
	OwnedSince time.Time
	// Fenced is the fencing number of the last order that the engine refused as
	// too low, and FencedAt the time of the refusal; zero if there is none.
	Fenced   uint64
	FencedAt time.Time
	Now      time.Time
	Config   Config
}

// Decision is the next order to an engine, or the reason for none.
type Decision struct {
	// Order is valid if Reason is empty.
	Order  backend.Order
	Reason Reason
	// Loading is set while a load that was sent may still be running.
	Loading bool
}

// Decide returns the next order. It reads no clock and does no I/O.
func Decide(in Input) Decision {
	d := Decision{Loading: in.anyLoading()}
	if d.Reason = in.blockReason(); d.Reason != "" {
		return d
	}
	d.Reason = ReasonInDesiredState
	for _, order := range in.requiredOrders() {
		reason := in.deferReason(order)
		if reason == "" {
			d.Order, d.Reason = order, ""
			return d
		}
		if d.Reason == ReasonInDesiredState {
			d.Reason = reason
		}
	}
	return d
}

// blockReason returns the reason why the engine gets no order at all, or "".
func (in Input) blockReason() Reason {
	c := in.Config
	switch {
	case in.Desired.empty():
		return ReasonNothingDesired
	case in.Report.Received.IsZero() || in.Now.Sub(in.Report.Received) > c.ReportTTL:
		return ReasonNoReport
	case !in.Report.reflects(in.OwnedSince, c.MaxReportLag):
		return ReasonRecentOwner
	case in.Report.Load.Leaving:
		return ReasonShuttingDown
	case in.Report.Load.FencingNumber > in.Desired.Number:
		return ReasonStaleSettings
	case in.Fenced >= in.Desired.Number && in.Now.Sub(in.FencedAt) < c.FencedDelay:
		return ReasonFenced
	}
	return ""
}

// requiredOrders returns the orders that bring the engine to the desired state,
// in the order in which they are sent. A model is unloaded only when the
// desired one is loaded.
func (in Input) requiredOrders() []backend.Order {
	var list []backend.Order
	d := in.Desired
	if d.Role != "" && (in.Report.Load.Role != d.Role || in.otherRolePending()) {
		list = append(list, d.newRoleOrder())
	}
	if d.Version == "" {
		return list
	}
	list = append(list, in.cancelSuperseded()...)
	if !in.loaded(d.target()) {
		return append(list, d.newOrder(backend.OrderLoad, d.target()))
	}
	for _, entry := range in.Report.Load.Models {
		// An order cannot name an entry that has no version.
		if m := parseModel(entry); m.version != "" && !in.needs(m) {
			list = append(list, d.newOrder(backend.OrderUnload, m))
		}
	}
	return list
}

// needs reports whether a loaded model must stay: it is the desired one or the
// base model of the desired adapter.
func (in Input) needs(m modelName) bool {
	return m == in.Desired.target() || m == in.Desired.target().base()
}

// loaded reports whether a model is loaded and no unload of it is pending.
func (in Input) loaded(m modelName) bool {
	if !in.Report.listsModel(m) {
		return false
	}
	unload, ok := in.History.find(in.Desired.newOrder(backend.OrderUnload, m))
	return !ok || !unload.mayBeAccepted() || in.Report.reflects(unload.Ended, in.Config.MaxReportLag)
}

// otherRolePending reports whether an order for another role may have taken
// effect although the report does not show it yet.
func (in Input) otherRolePending() bool {
	for _, s := range in.History {
		if s.Order.Kind == backend.OrderSetRole && s.Order.Role != in.Desired.Role && s.mayBeAccepted() &&
			!in.Report.reflects(s.Ended, in.Config.MaxReportLag) {
			return true
		}
	}
	return false
}

// cancelSuperseded returns unloads that cancel running loads of models that are
// no longer desired, so that these do not use the weight store. An engine that
// reports no model gets no unload: the load may have just completed, and the
// unload would remove the only model.
func (in Input) cancelSuperseded() []backend.Order {
	if len(in.Report.Load.Models) == 0 {
		return nil
	}
	var list []backend.Order
	for _, s := range in.History {
		if m := modelOf(s.Order); in.mayBeLoading(s) && !in.needs(m) {
			list = append(list, in.Desired.newOrder(backend.OrderUnload, m))
		}
	}
	return list
}

func (in Input) anyLoading() bool {
	for _, s := range in.History {
		if in.mayBeLoading(s) {
			return true
		}
	}
	return false
}

// mayBeLoading reports whether an order is a load that may still be running.
func (in Input) mayBeLoading(s SentOrder) bool {
	return s.Order.Kind == backend.OrderLoad && s.mayBeAccepted() && !s.lostByEngine(in.Report, in.Desired.HonoursFencing, in.Config.MaxReportLag) &&
		in.Now.Sub(s.Ended) < in.Config.LoadTimeout
}

// deferReason returns the reason why an order is not sent now, or "".
func (in Input) deferReason(order backend.Order) Reason {
	s, ok := in.History.find(order)
	if !ok {
		return ""
	}
	c, since := in.Config, in.Now.Sub(s.Ended)
	switch {
	case s.Outcome == OutcomeInvalid && since < c.BackoffMax:
		return ReasonBackoff
	case s.Outcome != OutcomeAccepted:
	case !in.Report.reflects(s.Ended, c.MaxReportLag):
		return ReasonAwaitingReport
	case in.mayBeLoading(s):
		return ReasonLoading
	}
	if since < c.backoff(s.Attempts) {
		return ReasonBackoff
	}
	return ""
}
