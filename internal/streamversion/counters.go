package streamversion

import "github.com/uber-go/tally/v4"

// counters are the metrics of the versions of streams.
type counters struct {
	scope tally.Scope
	// unresolved counts streams whose version could not be found, unrecorded those that
	// began without the row that they need.
	unresolved, unrecorded tally.Counter
	// records counts rows that were written, in transactions.
	records, transactions tally.Counter
	// recordWait is how long first events waited for their row.
	recordWait tally.Timer
	// pending is the number of rows that wait to be written.
	pending tally.Gauge
}

func newCounters(scope tally.Scope) *counters {
	return &counters{
		scope:      scope,
		unresolved: scope.Counter("stream_versions_unresolved"), unrecorded: scope.Counter("streams_unrecorded"),
		records: scope.Counter("stream_records"), transactions: scope.Counter("stream_record_transactions"),
		recordWait: scope.Timer("stream_record_wait"), pending: scope.Gauge("stream_records_pending"),
	}
}

func (c *counters) resolved(source Source) {
	c.scope.Tagged(map[string]string{"source": string(source)}).Counter("stream_versions_resolved").Inc(1)
}

func (c *counters) update(d Dump) { c.pending.Update(float64(d.Pending)) }
