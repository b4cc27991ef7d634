package forward

import (
	"log/slog"
	"time"

	"gentiantide.example/gentiantide/internal/replica"
)

// ResponseInfo holds what the status and headers of a replica's response say.
type ResponseInfo struct {
	// NotRun is set if the request has not run at this replica and will not run.
	NotRun bool
	// Misdirected is set if another replica now has the address.
	Misdirected bool
	// Foreign is set if nothing shows that a replica sent the response: it has no
	// signature, does not name its request and does not say that it has not run.
	Foreign bool
	// Signed is set if the response carries the replica's signature.
	Signed bool
	// Load is the replica's load report, or nil if it sent none.
	Load *replica.Load
	// Limit is the request rate that the replica names, or nil if the response says
	// nothing of it: it is not the replica's own, or the rate cannot be read.
	Limit *replica.Limit
	// Leaving is set if the replica says that it is leaving.
	Leaving bool
}

// Record updates the state of a replica from its response to a request that was sent at
// a time. started is the start of the replica's process when the request was sent.
func (i *ResponseInfo) Record(target *replica.Replica, started int64, sent time.Time, requestID string, log *slog.Logger) {
	now := time.Now()
	if i.Load != nil {
		target.RecordLoad(*i.Load, now)
	}
	if i.Leaving && target.MarkLeaving(started) {
		log.Info("replica says that it is leaving", "request", requestID, "replica", target.Info().ID)
	}
	if i.Limit != nil && target.ObserveLimit(*i.Limit, sent, now) {
		log.Info("limit of a replica changed", "request", requestID, "replica", target.Info().ID,
			"limited", i.Limit.Named, "per_second", i.Limit.PerSecond)
	}
}
