package forward

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/routetable"
)

const (
	// stoppingRetryAfter is the Retry-After of a stopping node. Another node can serve
	// the request at once.
	stoppingRetryAfter = 20 * time.Millisecond
	// shortRequestTime is what a request that is no stream may take at a stopping node.
	// Most take less than 0.1 s.
	shortRequestTime = time.Second
)

// errStopOver is the cancellation cause of requests that are still in progress when
// the node has to end them.
var errStopOver = errors.New("node stops and has no more time")

// Stop bounds the work of a node that stops, so that each request that it accepts can
// be answered.
type Stop struct {
	times  atomic.Pointer[stopTimes]
	over   context.Context
	cancel context.CancelFunc
}

// stopTimes are the times of a stop that has begun.
type stopTimes struct {
	// lastLong is until when requests are accepted that may take long, streams and batch
	// jobs, and lastShort until when the others are.
	lastLong, lastShort time.Time
	// over is when the requests in progress are ended.
	over time.Time
}

// NewStop returns the bounds of a node that does not stop yet.
func NewStop() *Stop {
	s := &Stop{}
	s.over, s.cancel = context.WithCancel(context.Background())
	return s
}

// Begin begins the stop. Streams and batch jobs are refused after lastLong, and other
// requests shortRequestTime before over, unless their deadline is before over. All
// requests in progress are ended at over.
func (s *Stop) Begin(lastLong, over time.Time) {
	lastShort := over.Add(-shortRequestTime)
	if lastLong.After(lastShort) {
		lastLong = lastShort
	}
	s.times.Store(&stopTimes{lastLong: lastLong, lastShort: lastShort, over: over})
	time.AfterFunc(time.Until(over), s.cancel)
}

// refuses reports whether a request that is complete at a time comes too late in the
// stop.
func (s *Stop) refuses(kind routetable.Kind, complete, deadline time.Time) bool {
	times := s.times.Load()
	if times == nil || !deadline.After(times.over) {
		return false
	}
	if kind == routetable.KindStream || kind == routetable.KindBatch {
		return complete.After(times.lastLong)
	}
	return complete.After(times.lastShort)
}

// watch calls end when the stop is over, or now if it is. The returned function ends the
// watch.
func (s *Stop) watch(end context.CancelCauseFunc) (stop func() bool) {
	if s.over.Err() != nil {
		end(errStopOver)
	}
	return context.AfterFunc(s.over, func() { end(errStopOver) })
}
