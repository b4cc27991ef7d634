package coordinator

import (
	"gentiantide.example/gentiantide/internal/core"
)

// Kinds of messages between coordinators and workers.
const (
	KindAsk    = "batch.ask"    // call, worker to coordinator
	KindReport = "batch.report" // one-way, worker to coordinator
	KindJob    = "batch.job"    // one-way, any node to coordinator
	KindWork   = "batch.work"   // one-way, coordinator to workers
	KindBehind = "batch.behind" // one-way, coordinator to the holder of a range
	KindCancel = "batch.cancel" // call, coordinator to the holder of ranges
)

// Ask asks for ranges.
type Ask struct {
	Ranges int `msgpack:"n"`
	// Except lists the jobs of which the worker wants no more ranges now, but
	// for ranges of a lost node, which have waited longest.
	Except []core.JobID `msgpack:"x,omitempty"`
}

// Answer offers ranges.
type Answer struct {
	Offers []Offer `msgpack:"o"`
}

// Offer is a range that the asking worker may claim.
type Offer struct {
	Job        core.JobID `msgpack:"j"`
	JobVersion uint64     `msgpack:"jv"`
	JobRow     []byte     `msgpack:"jr"`
	Range      string     `msgpack:"r"`
	// Version and Row are those of the range row; 0 and nil if it is absent.
	Version uint64 `msgpack:"v"`
	Row     []byte `msgpack:"rr"`
	// Lapsed names the session that is taken over; it is empty for a range
	// that nobody holds. LeaseVersion is the version of the lease row that the
	// claim must delete; 0 requires that the row is absent.
	Lapsed       string `msgpack:"l"`
	LeaseVersion uint64 `msgpack:"lv"`
}

// Report tells of a range row that the sender has written or found changed.
type Report struct {
	Job   core.JobID `msgpack:"j"`
	Range string     `msgpack:"r"`
	// Version is 0 if the sender does not know the row.
	Version uint64 `msgpack:"v"`
	Row     []byte `msgpack:"rr"`
}

// JobNotice tells that a job was accepted or changed.
type JobNotice struct {
	Job core.JobID `msgpack:"j"`
}

// Work tells a worker that asking the sender is worthwhile.
type Work struct{}

// Behind asks the holder of a range to release its unstarted items.
type Behind struct {
	Job   core.JobID `msgpack:"j"`
	Range string     `msgpack:"r"`
}

// Cancel asks the holder of ranges to stop all items of a job.
type Cancel struct {
	Job     core.JobID `msgpack:"j"`
	Session string     `msgpack:"s"`
}

// CancelAnswer confirms that no item of the job runs and none will start.
type CancelAnswer struct {
	Stopped bool `msgpack:"s"`
}
