package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/placement"
	"gentiantide.example/gentiantide/internal/replica"
)

// standbyRetryInterval is the pause before a silent replica's request asks again for
// another replica after it was refused one.
const standbyRetryInterval = 200 * time.Millisecond

// standby looks for another replica while the one that has the request is silent. The
// silent one keeps the request until the other is granted: it may be sound and go on,
// and a run that was given up before would be lost if there were no other.
type standby struct {
	placer Placer
	// ctx is that of the request. replace ends the attempt at the silent replica.
	ctx      context.Context
	replace  func()
	silence  time.Duration // after which the search begins
	maxWait  func(lastProgress time.Time) time.Duration
	timer    *time.Timer
	deadline time.Time

	mu sync.Mutex
	// query describes the request. MaxWait is set when the search begins.
	query        placement.Query
	lastProgress time.Time
	stopSearch   context.CancelFunc
	stopped      bool
	granted      *replica.Replica
}

// newStandby returns the standby of the next attempt, which goes to the target, or nil
// if no other replica may take the request over from it.
func (r *request) newStandby(ctx context.Context, target *replica.Replica, silence time.Duration, replace func()) *standby {
	if !r.route.Retryable() || r.runs+1 >= r.route.MaxAttempts || r.sends+1 >= maxSends || silence <= 0 {
		return nil
	}
	s := &standby{
		placer: r.h.Placer, query: *r.query(time.Now()), ctx: ctx, replace: replace, silence: silence,
		maxWait: r.maxWait, deadline: r.deadline, lastProgress: r.lastProgress,
	}
	s.query.Tried = append(slices.Clone(r.tried), target.Info().ID)
	s.query.Identity = 0 // the caller is not rejected if no replica is found
	s.timer = time.AfterFunc(silence, s.search)
	return s
}

// recordProgress ends a search and postpones the next one: the caller was sent a part of
// the response at a time, and only a replica with the software that began it may take
// the request over.
func (s *standby) recordProgress(now time.Time, begunAt *replica.Software) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endSearch()
	s.lastProgress, s.query.Urgent = now, true
	s.query.Service, s.query.Version = begunAt.Service, &begunAt.Version
	if !s.stopped && s.granted == nil {
		s.timer.Reset(s.silence)
	}
}

// stop ends the search and returns the replica that was granted, or nil. The caller
// releases it or sends the request there.
func (s *standby) stop() *replica.Replica {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
	s.endSearch()
	granted := s.granted
	s.granted = nil
	return granted
}

// disable ends the search for good, as no other replica can go on with the response.
func (s *standby) disable() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
	s.endSearch()
}

// endSearch requires the lock.
func (s *standby) endSearch() {
	if s.stopSearch != nil {
		s.stopSearch()
		s.stopSearch = nil
	}
}

// search asks for another replica until one is granted, the silent one goes on or the
// attempt ends.
func (s *standby) search() {
	ctx, query, ok := s.beginSearch()
	if !ok {
		return
	}
	for time.Until(s.deadline) >= minRemaining && ctx.Err() == nil {
		target, _ := s.placer.Place(ctx, query)
		if target != nil && s.take(ctx, target) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(standbyRetryInterval):
		}
	}
}

// beginSearch returns the context and the query of a search, or false if the attempt
// has ended.
func (s *standby) beginSearch() (context.Context, *placement.Query, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.granted != nil {
		return nil, nil, false
	}
	s.endSearch()
	ctx, cancel := context.WithCancel(s.ctx)
	s.stopSearch = cancel
	query := s.query
	query.MaxWait = s.maxWait(s.lastProgress)
	return ctx, &query, true
}

// take ends the attempt at the silent replica in favour of a target. It releases the
// target and returns false if the search has ended, or if the target is no better.
func (s *standby) take(search context.Context, target *replica.Replica) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if search.Err() != nil || target.Ejected(time.Now()) {
		target.End(core.ClassOnline)
		return false
	}
	s.endSearch()
	s.granted = target
	s.replace()
	return true
}
