package streamversion

import (
	"context"
	"time"

	"gentiantide.example/gentiantide/internal/core"
)

// Recording keeps the row of one stream that this node begins. It is used by the
// goroutine that serves the request.
type Recording struct {
	s       *Service
	service core.DeploymentID
	key     streamKey
	// until is when no caller takes the stream up any more.
	until     time.Time
	stream    *pendingStream // nil until a row is needed
	version   core.SoftwareVersion
	delivered bool
}

// Begin returns the recording of a stream that a request begins. life is how long its
// callers may wait for it, over all of their attempts.
func (s *Service) Begin(service core.DeploymentID, request string, life time.Duration) *Recording {
	return &Recording{s: s, service: service, key: newStreamKey(service, request), until: time.Now().Add(life + recordMargin)}
}

// Send must be called when the request is sent to a replica of a version, before its
// first event. The row is written while the replica reads the prompt. A stream that was
// sent to replicas of different versions keeps its row, with the last version.
func (r *Recording) Send(version core.SoftwareVersion) {
	r.version = version
	if r.stream == nil {
		if r.s.unrecorded(r.service, version) {
			return
		}
		r.stream = r.s.newPendingStream(r.service, r.key, r.until)
	}
	r.s.record(r.stream, version, false)
}

// Await returns when the version of the stream can be found by all nodes, or the error
// of ctx. It must be called before the first event reaches the caller.
func (r *Recording) Await(ctx context.Context) error {
	if r.stream == nil {
		return nil
	}
	began := time.Now()
	err := r.stream.await(ctx)
	r.s.counters.recordWait.Record(time.Since(began))
	return err
}

// Deliver notes that the first event is sent to the caller.
func (r *Recording) Deliver() {
	r.delivered = true
	r.s.memory.put(r.key, remembered{version: r.version, at: time.Now(), until: r.until})
}

// Doubt notes that the stream, which the caller receives, may have begun at another
// version: the replica has registered with one since the request was sent to it. Nobody
// may take the stream up.
func (r *Recording) Doubt() {
	r.s.memory.put(r.key, remembered{unknown: true, at: time.Now(), until: r.until})
	if r.stream == nil {
		r.stream = r.s.newPendingStream(r.service, r.key, r.until)
	}
	r.s.record(r.stream, r.version, true)
}

// Unrecorded notes that the first event is sent to the caller although the row is not
// written: the store is away, and the service has no other replicas. The row is still
// written when the store is back.
func (r *Recording) Unrecorded(request string) {
	r.s.counters.unrecorded.Inc(1)
	r.s.log.Warn("stream begins without a record of its version", "request", request, "service", r.service, "version", r.version)
}

// End must be called when the request has ended. The row of a stream of which the
// caller got nothing is deleted at once, other rows when no caller takes the stream up
// any more.
func (r *Recording) End() {
	if r.stream == nil {
		return
	}
	due := r.until
	if !r.delivered {
		due = time.Now()
	}
	r.s.writers[r.key.partition()].end(r.stream, due)
}
