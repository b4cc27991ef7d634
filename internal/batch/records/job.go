package records

import (
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// JobState is the stored state of a job.
type JobState string

// The states of a job row. The input is validated before a job is accepted, so
// a job starts in progress.
const (
	JobInProgress JobState = "in_progress"
	JobCancelling JobState = "cancelling"
	JobCancelled  JobState = "cancelled"
	JobCompleted  JobState = "completed"
	// JobExpired is the state of a job whose retention period has ended: its
	// results, its range rows and then its job row are being deleted. The state
	// is final.
	JobExpired JobState = "expired"
)

// Job is the row of a job. The row does not change while the job is in
// progress, so every claim and commit can require its version.
type Job struct {
	ID         core.JobID  `msgpack:"id"`
	Org        core.Org    `msgpack:"org"`
	File       core.FileID `msgpack:"file"`
	PartPrefix string      `msgpack:"parts"`
	// ResultPrefix is the object prefix of the result segments. It is unique to the
	// row: after a job was deleted, a request with the same idempotency key
	// creates a job with the same id, and a delayed deletion for the old job must
	// not delete the results of the new one.
	ResultPrefix  string            `msgpack:"results"`
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
	// Completed and Failed count the items of a job that has ended.
	Completed int `msgpack:"completed"`
	Failed    int `msgpack:"failed"`
}

// SameRequest reports whether two jobs were created by requests with the same
// content.
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

// OpenJob is the row of a job that has not ended in the index of open jobs. It
// is written again when the job is cancelled, so that a scan of the index shows
// the change.
type OpenJob struct {
	State JobState `msgpack:"state"`
}
