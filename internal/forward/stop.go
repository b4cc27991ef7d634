package forward

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"gentiantide.example/gentiantide/internal/routetable"
)

// stoppingRetryAfter is the Retry-After of a stopping node. Another node can serve
// the request at once.
const stoppingRetryAfter = 20 * time.Millisecond

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
	// lastLong is until when requests are accepted that may take long: streams and
	// batch jobs.
	lastLong time.Time
	// over is when the requests in progress are ended.
	over time.Time
}

// NewStop returns the bounds of a node that does not stop yet.
func NewStop() *Stop {
	s := &Stop{}
	s.over, s.cancel = context.WithCancel(context.Background())
	return s
}

// Begin begins the stop. Streams and batch jobs are refused after lastLong unless
// their deadline is before over; all requests in progress are ended at over.
func (s *Stop) Begin(lastLong, over time.Time) {
	s.times.Store(&stopTimes{lastLong: lastLong, over: over})
	time.AfterFunc(time.Until(over), s.cancel)
}

// refuses reports whether a request comes too late in the stop.
func (s *Stop) refuses(kind routetable.Kind, arrived, deadline time.Time) bool {
	times := s.times.Load()
	if times == nil || !arrived.After(times.lastLong) {
		return false
	}
	if kind != routetable.KindStream && kind != routetable.KindBatch {
		// The response is sent as a whole, and what has none by then is answered 504.
		return arrived.After(times.over)
	}
	return deadline.After(times.over)
}

// watch calls end when the stop is over. The returned function ends the watch.
func (s *Stop) watch(end context.CancelCauseFunc) (stop func() bool) {
	return context.AfterFunc(s.over, func() { end(errStopOver) })
}
