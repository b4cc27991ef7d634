package orders

import (
	"time"

	"gentiantide.example/gentiantide/internal/backend"
)

// Input is all that a decision depends on.
type Input struct {
	Desired Desired
	Report  Report
	History History
	// OwnedSince is when this node became the owner of the replica.
	OwnedSince time.Time
	// Fenced is the number of the last order that the engine refused as old,
	// and FencedAt when; zero if there is none.
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
	// Loading is set while a load that was sent may be running.
	Loading bool
}

// Decide returns the next order. It reads no clock and does no I/O.
func Decide(in Input) Decision {
	d := Decision{Loading: in.loading()}
	if d.Reason = in.hold(); d.Reason != "" {
		return d
	}
	d.Reason = ReasonDone
	for _, order := range in.wanted() {
		reason := in.wait(order)
		if reason == "" {
			d.Order, d.Reason = order, ""
			return d
		}
		if d.Reason == ReasonDone {
			d.Reason = reason
		}
	}
	return d
}

// hold returns the reason for which the engine gets no order at all.
func (in Input) hold() Reason {
	c := in.Config
	switch {
	case in.Desired.wantsNothing():
		return ReasonNothingWanted
	case in.Report.Received.IsZero() || in.Now.Sub(in.Report.Received) > c.ReportValid:
		return ReasonNoReport
	case !in.Report.shows(in.OwnedSince, c.LagBound):
		return ReasonSettling
	case in.Report.Load.Leaving:
		return ReasonLeaving
	case in.Report.Load.FencingNumber > in.Desired.Number:
		return ReasonOldSettings
	case in.Fenced >= in.Desired.Number && in.Now.Sub(in.FencedAt) < c.FencedHold:
		return ReasonFenced
	}
	return ""
}

// wanted returns the orders that separate the engine from the desired state,
// first things first. A model is unloaded only when the desired one is loaded.
func (in Input) wanted() []backend.Order {
	var list []backend.Order
	d := in.Desired
	if d.Role != "" && (in.Report.Load.Role != d.Role || in.otherRolePending()) {
		list = append(list, d.roleOrder())
	}
	if d.Version == "" {
		return list
	}
	list = append(list, in.superseded()...)
	if !in.loaded(d.name()) {
		return append(list, d.order(backend.OrderLoad, d.name()))
	}
	for _, entry := range in.Report.Load.Models {
		// An entry without a version cannot be named in an order.
		if m := parseModel(entry); m.version != "" && !in.keeps(m) {
			list = append(list, d.order(backend.OrderUnload, m))
		}
	}
	return list
}

// keeps reports whether a loaded model stays: the desired one, and the model
// that a desired adapter belongs to.
func (in Input) keeps(m modelName) bool {
	return m == in.Desired.name() || m == in.Desired.name().base()
}

// loaded reports whether a model is loaded and no unload of it is on its way.
func (in Input) loaded(m modelName) bool {
	if !in.Report.lists(m) {
		return false
	}
	unload, ok := in.History.find(in.Desired.order(backend.OrderUnload, m))
	return !ok || !unload.mayRun() || in.Report.shows(unload.Ended, in.Config.LagBound)
}

// otherRolePending reports whether an order for another role may have an
// effect that the report does not show yet.
func (in Input) otherRolePending() bool {
	for _, s := range in.History {
		if s.Order.Kind == backend.OrderSetRole && s.Order.Role != in.Desired.Role && s.mayRun() &&
			!in.Report.shows(s.Ended, in.Config.LagBound) {
			return true
		}
	}
	return false
}

// superseded returns unloads that end loads of models that are no longer
// wanted, so that they do not use the weight store. Nothing is unloaded from
// an engine without any model, since the load may have ended just now.
func (in Input) superseded() []backend.Order {
	if len(in.Report.Load.Models) == 0 {
		return nil
	}
	var list []backend.Order
	for _, s := range in.History {
		if m := modelOf(s.Order); in.running(s) && !in.keeps(m) {
			list = append(list, in.Desired.order(backend.OrderUnload, m))
		}
	}
	return list
}

func (in Input) loading() bool {
	for _, s := range in.History {
		if in.running(s) {
			return true
		}
	}
	return false
}

// running reports whether an order is a load that may be running.
func (in Input) running(s Sent) bool {
	return s.Order.Kind == backend.OrderLoad && s.mayRun() && !s.lost(in.Report, in.Desired.HonoursFencing, in.Config.LagBound) &&
		in.Now.Sub(s.Ended) < in.Config.LoadTimeout
}

// wait returns the reason for which an order is not sent now.
func (in Input) wait(order backend.Order) Reason {
	s, ok := in.History.find(order)
	if !ok {
		return ""
	}
	c, since := in.Config, in.Now.Sub(s.Ended)
	switch {
	case s.Outcome == OutcomeInvalid && since < c.BackoffMax:
		return ReasonBackoff
	case s.Outcome != OutcomeTaken:
	case !in.Report.shows(s.Ended, c.LagBound):
		return ReasonAwaiting
	case in.running(s):
		return ReasonLoading
	}
	if since < c.backoff(s.Tries) {
		return ReasonBackoff
	}
	return ""
}
