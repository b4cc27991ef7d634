package records

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// JobState is the stored state of a job.
type JobState string

// The states of a job row. Input is checked before a job is accepted, so a
// job begins in progress.
const (
	JobInProgress JobState = "in_progress"
	JobCancelling JobState = "cancelling"
	JobCancelled  JobState = "cancelled"
	JobCompleted  JobState = "completed"
	// JobExpired is a job whose retention has ended: its results, its ranges
	// and then its row are being deleted. It never leaves the state.
	JobExpired JobState = "expired"
)

// Job is the row of a job. While a job is in progress the row does not
// change, so its version guards every claim and commit.
type Job struct {
	ID         core.JobID  `msgpack:"id"`
	Org        core.Org    `msgpack:"org"`
	File       core.FileID `msgpack:"file"`
	PartPrefix string      `msgpack:"parts"`
	// Results is the object prefix of the result segments. It is unique to the
	// row: after the deletion of a job, a resend of its key makes a job with
	// the same id, whose results a late deletion for the old job must not hit.
	Results       string            `msgpack:"results"`
	Endpoint      string            `msgpack:"endpoint"`
	Window        string            `msgpack:"window"`
	Metadata      map[string]string `msgpack:"meta,omitempty"`
	NonIdempotent bool              `msgpack:"nonidem,omitempty"`
	Ranges        int               `msgpack:"ranges"`
	Items         int               `msgpack:"items"`
	State         JobState          `msgpack:"state"`
	Created       time.Time         `msgpack:"created"`
	Due           time.Time         `msgpack:"due"`
	CancellingAt  time.Time         `msgpack:"cancelling_at,omitempty"`
	EndedAt       time.Time         `msgpack:"ended_at,omitempty"`
	// Completed and Failed are the counts of a job that has ended.
	Completed int `msgpack:"completed"`
	Failed    int `msgpack:"failed"`
}

// SameRequest reports whether two jobs were asked for with the same content.
func (j *Job) SameRequest(o *Job) bool {
	if j.Org != o.Org || j.File != o.File || j.Endpoint != o.Endpoint || j.Window != o.Window || len(j.Metadata) != len(o.Metadata) {
		return false
	}
	for k, v := range j.Metadata {
		if w, ok := o.Metadata[k]; !ok || v != w {
			return false
		}
	}
	return true
}

// Open is the index row of a job that has not ended. It is written again when
// the job is cancelled, so that a scan of the index shows the change.
type Open struct {
	State JobState `msgpack:"state"`
}
