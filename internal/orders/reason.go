package orders

// Reason says why no order is sent to an engine.
type Reason string

// The reasons of a Decision, and those for which a Service does not send the
// order of a Decision.
const (
	ReasonNothingDesired Reason = "the settings require no order"
	ReasonInDesiredState Reason = "the engine is in the desired state"
	ReasonRecentOwner    Reason = "ownership is recent; the report may not show the orders of the previous owner yet"
	ReasonNoReport       Reason = "no recent load report"
	ReasonShuttingDown   Reason = "the engine is shutting down"
	ReasonStaleSettings  Reason = "the engine has accepted a higher fencing number than the settings version"
	ReasonFenced         Reason = "the engine refused the fencing number"
	ReasonAwaitingReport Reason = "the report may not show the last order yet"
	ReasonLoading        Reason = "the model is loading"
	ReasonBackoff        Reason = "the last order failed or had no effect; backing off"
	ReasonSending        Reason = "an order is being sent"
	ReasonNoPermit       Reason = "waiting for a load permit"
	ReasonPermitStale    Reason = "the permit was not renewed in time"
)
