package orders

// Reason says why no order is sent.
type Reason string

// The reasons of a Decision, and those of a Service for holding one back.
const (
	ReasonNothingWanted Reason = "the settings want no order"
	ReasonDone          Reason = "the engine is as the settings say"
	ReasonSettling      Reason = "ownership is recent; orders of the last owner may not be reported yet"
	ReasonNoReport      Reason = "no recent load report"
	ReasonLeaving       Reason = "the engine is leaving"
	ReasonOldSettings   Reason = "the engine has taken a higher fencing number than the settings version"
	ReasonFenced        Reason = "the engine refused the fencing number"
	ReasonAwaiting      Reason = "the last order may not be reported yet"
	ReasonLoading       Reason = "the model is loading"
	ReasonBackoff       Reason = "the last order failed or had no effect; backing off"
	ReasonSending       Reason = "an order is being sent"
	ReasonNoPermit      Reason = "waiting for a permit to load"
	ReasonPermitOld     Reason = "the permit was not renewed in time"
)
