package forward

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/streamversion"
)

const (
	// versionUnknownRetryAfter is the Retry-After of a stream whose version cannot be
	// found now. The store usually answers again within seconds.
	versionUnknownRetryAfter = 500 * time.Millisecond
	// versionGoneRetryAfter is that of a stream whose version has no replica. One that
	// lost contact with the store registers again within two seconds.
	versionGoneRetryAfter = time.Second
	// recordTimeout is how long the first event of a stream may wait until its version is
	// recorded. With 0.6 s, a second attempt begins before most callers give up.
	recordTimeout = 600 * time.Millisecond
	// awayRecordTimeout is the same if the store is away and no replica is left at which a
	// stream needs no record.
	awayRecordTimeout = 50 * time.Millisecond
)

// errNotRecorded ends an attempt whose stream could not be recorded.
var errNotRecorded = errors.New("version of the stream could not be recorded in time")

// Versions knows at which versions of the replicas' software streams began.
type Versions interface {
	// Resolve returns the origin of a stream. An error means that it cannot be found now.
	Resolve(ctx context.Context, service core.DeploymentID, request string) (streamversion.Origin, error)
	// Begin returns the recording of a new stream.
	Begin(service core.DeploymentID, request string, life time.Duration) *streamversion.Recording
	// Fallback returns the version at which new streams should begin while records cannot
	// be written, or nil if any will do.
	Fallback(service core.DeploymentID) *core.SoftwareVersion
	// Base returns the version whose streams need no record, if it has replicas.
	Base(service core.DeploymentID) *core.SoftwareVersion
	// Away reports whether records can probably not be written now.
	Away() bool
	// HasReplica reports whether a replica of a version takes new work.
	HasReplica(service core.DeploymentID, version core.SoftwareVersion) bool
}

// takesUp reports whether the caller has received the first events of the stream in an
// earlier attempt.
func (r *request) takesUp() bool { return r.reqInfo.TakesUp && r.route.CanResume }

// streamID returns the ID of the attempt that began the stream. On a route with several
// services it decides between them, so that all nodes take the stream up at the same one.
func (r *request) streamID() string {
	if r.takesUp() && r.reqInfo.Began != "" {
		return r.reqInfo.Began
	}
	return r.reqInfo.ID
}

// prepareVersion finds the version at which a stream that the caller takes up must go
// on, or begins to record that of a new one. It refuses the request and returns false if
// the stream cannot go on.
func (r *request) prepareVersion(ctx context.Context) bool {
	if !r.route.CanResume {
		return true
	}
	r.service = r.route.Pick(xxhash.Sum64String(r.streamID()))
	if !r.reqInfo.TakesUp {
		r.recording = r.h.Versions.Begin(r.service, r.reqInfo.ID, max(r.reqInfo.CallerTimeout, r.timeout()))
		return true
	}
	origin, err := r.h.Versions.Resolve(ctx, r.service, r.reqInfo.Began)
	if err != nil {
		r.h.Log.Warn("stream not taken up: its version cannot be found", "request", r.reqInfo.ID, "began", r.reqInfo.Began, "service", r.service, "error", err)
		refuse(r.w, http.StatusServiceUnavailable, "version_unknown", versionUnknownRetryAfter)
		return false
	}
	if !r.h.Versions.HasReplica(r.service, origin.Version) {
		r.h.Log.Warn("stream not taken up: its version has no replica", "request", r.reqInfo.ID, "began", r.reqInfo.Began, "service", r.service,
			"version", origin.Version, "source", string(origin.Source), "age_ms", origin.Age.Milliseconds())
		refuse(r.w, http.StatusServiceUnavailable, "version_gone", versionGoneRetryAfter)
		return false
	}
	r.h.Log.Info("stream taken up", "request", r.reqInfo.ID, "began", r.reqInfo.Began, "service", r.service,
		"version", origin.Version, "source", string(origin.Source), "age_ms", origin.Age.Milliseconds())
	r.begunAt = &replica.Software{Service: r.service, Version: origin.Version}
	return true
}

// pickService returns the service for the next attempt. Those of a stream that may be
// resumed all go to one service, as its versions are those of the service.
func (r *request) pickService(now time.Time) core.DeploymentID {
	if r.service != "" {
		return r.service
	}
	return r.route.Pick(uint64(now.UnixNano()))
}

// preferredVersion returns the version that the replica that begins a stream must have,
// or nil if any will do.
func (r *request) preferredVersion() *core.SoftwareVersion {
	switch {
	case r.recording == nil:
		return nil
	case r.notRecorded:
		return r.h.Versions.Base(r.service)
	default:
		return r.h.Versions.Fallback(r.service)
	}
}

// awaitRecord returns when the first event of an attempt may be sent to the caller: all
// nodes can find the version of the stream. If that takes too long the attempt ends with
// errNotRecorded, unless there is no replica whose streams need no record.
func (r *request) awaitRecord(ctx context.Context, a *attempt) error {
	if r.headerSent || r.recording == nil {
		return nil
	}
	a.response.RecordProgress() // the wait is not the replica's
	base := r.h.Versions.Base(r.service)
	limit := recordTimeout
	if base == nil && r.h.Versions.Away() {
		limit = awayRecordTimeout
	}
	waitCtx, cancel := context.WithTimeoutCause(ctx, limit, errNotRecorded)
	defer cancel()
	err := r.recording.Await(waitCtx)
	switch {
	case err == nil:
	case ctx.Err() != nil:
		return err
	case base != nil && *base != a.software.Version:
		r.notRecorded = true
		return errNotRecorded
	default:
		r.recording.Unrecorded(r.reqInfo.ID)
	}
	r.recording.Deliver()
	return nil
}
