package coordinator

import (
	"gentiantide.example/gentiantide/internal/core"
)

// Kinds of messages between coordinators and workers.
const (
	KindRangeRequest  = "batch.ask"    // call, worker to coordinator
	KindRangeReport   = "batch.report" // one-way, worker to coordinator
	KindJobChanged    = "batch.job"    // one-way, any node to coordinator
	KindWorkAvailable = "batch.work"   // one-way, coordinator to workers
	KindSplitRequest  = "batch.behind" // one-way, coordinator to the holder of a range
	KindCancelRequest = "batch.cancel" // call, coordinator to the holder of ranges
)

// RangeRequest asks a coordinator for ranges.
type RangeRequest struct {
	MaxRanges int `msgpack:"n"`
	// ExcludeJobs lists the jobs of which the worker accepts only ranges of expired
	// sessions, which have waited longest.
	ExcludeJobs []core.JobID `msgpack:"x,omitempty"`
}

// RangeResponse lists the offered ranges.
type RangeResponse struct {
	Offers []Offer `msgpack:"o"`
}

// Offer is a range that the requesting worker may claim.
type Offer struct {
	Job        core.JobID `msgpack:"j"`
	JobVersion uint64     `msgpack:"jv"`
	JobRow     []byte     `msgpack:"jr"`
	Range      string     `msgpack:"r"`
	// Version and Row are the version and value of the range row; 0 and nil if it
	// is absent.
	Version uint64 `msgpack:"v"`
	Row     []byte `msgpack:"rr"`
	// ExpiredSession is the session from which the range is taken over. It is empty
	// if no session holds the range. LeaseVersion is the version of its lease row,
	// which the claim must delete; 0 requires that the row is absent.
	ExpiredSession string `msgpack:"l"`
	LeaseVersion   uint64 `msgpack:"lv"`
}

// RangeReport informs the coordinator about a range row that the sender has
// written or found changed.
type RangeReport struct {
	Job   core.JobID `msgpack:"j"`
	Range string     `msgpack:"r"`
	// Version is 0 if the sender does not know the row.
	Version uint64 `msgpack:"v"`
	Row     []byte `msgpack:"rr"`
}

// JobChanged informs the coordinator that a job was accepted or changed.
type JobChanged struct {
	Job core.JobID `msgpack:"j"`
}

// WorkAvailable informs a worker that the sender has ranges to offer or to split.
type WorkAvailable struct{}

// SplitRequest asks the holder of a range to give up its unstarted items.
type SplitRequest struct {
	Job   core.JobID `msgpack:"j"`
	Range string     `msgpack:"r"`
}

// CancelRequest asks the holder of ranges to stop all items of a job.
type CancelRequest struct {
	Job     core.JobID `msgpack:"j"`
	Session string     `msgpack:"s"`
}

// CancelResponse says whether the holder runs no item of the job and will start
// none.
type CancelResponse struct {
	Stopped bool `msgpack:"s"`
}
