package forward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"gentiantide.example/gentiantide/internal/contain"
	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/placement"
	"gentiantide.example/gentiantide/internal/quarantine"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routetable"
)

const (
	// standbyRetryInterval is the pause before a silent replica's request asks again for
	// another replica after it was refused one.
	standbyRetryInterval = 200 * time.Millisecond
	// overlapTimeout is how long both replicas may have the request while the answer of
	// the other one is awaited. Engines answer within 100 ms as a rule; a request may
	// not be at work at two of them for longer than 400 ms.
	overlapTimeout = 300 * time.Millisecond
)

// errStandbyEnded is the cancellation cause of an attempt that a standby has begun: the
// silent replica has gone on, or its attempt has ended.
var errStandbyEnded = errors.New("replica that had the request has answered")

// standby looks for another replica while the one that has the request is silent, and
// sends the request there. The silent one keeps the request until the other has
// answered: it may be sound and go on, and its run would be lost if the other one were
// full or gone.
type standby struct {
	r       *request
	ctx     context.Context // that of the request
	present *attempt        // at the replica that may fall silent
	silence time.Duration   // after which the search begins
	timer   *time.Timer
	// exchange sends the request of an attempt and reads the head of the response.
	exchange func(*attempt)
	// searches counts the goroutines that search.
	searches sync.WaitGroup

	mu sync.Mutex
	// query describes the request. MaxWait is set when the search begins.
	query        placement.Query
	lastProgress time.Time
	begunAt      *replica.Software
	resumeAfter  int64
	// sends and runs are how many replicas the request may still be sent to, and may
	// still run at.
	sends, runs int
	stopSearch  context.CancelFunc
	stopped     bool
	// inFlight is the attempt whose answer is awaited, and detach lets it outlive the
	// search. detach returns false if the search has ended before.
	inFlight *attempt
	detach   func() bool
	// takesOver is the attempt that takes the place of the present one. ended are those
	// that did not; the request has not counted them yet.
	takesOver *attempt
	ended     []*attempt
}

// newStandby returns the standby of an attempt that is about to be made, or nil if no
// other replica may take the request over from it.
func (r *request) newStandby(ctx context.Context, present *attempt, silence time.Duration) *standby {
	s := &standby{
		r: r, ctx: ctx, present: present, silence: silence, exchange: r.exchange, query: *r.query(time.Now()), lastProgress: r.lastProgress,
		begunAt: r.begunAt, resumeAfter: present.resumeAfter, sends: maxSends - r.sends - 1, runs: r.route.MaxAttempts - r.runs - 1,
	}
	if !r.route.Retryable() || s.sends <= 0 || s.runs <= 0 || silence <= 0 {
		return nil
	}
	s.query.Tried = append(slices.Clone(r.tried), present.replica.Info().ID)
	s.query.Repeatable = false // it has lost time already
	s.query.Identity = 0       // the caller is not rejected if no replica is found
	s.timer = time.AfterFunc(silence, s.search)
	return s
}

// claim reports whether the caller may still be sent an event of the present attempt, and
// ends the search if it is more than a comment. Once another attempt has taken over, that
// one sends the event: both would leave a stream that neither can go on with.
func (s *standby) claim(comment bool) bool {
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.takesOver == nil && !comment {
		s.endSearch()
	}
	return s.takesOver == nil
}

// recordProgress ends a search and postpones the next one: the caller was sent the
// response up to an event, and only the software that began it may go on with it.
func (s *standby) recordProgress(now time.Time, begunAt *replica.Software, lastEvent int64) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endSearch()
	s.lastProgress, s.begunAt, s.resumeAfter = now, begunAt, lastEvent
	s.query.Urgent, s.query.Service, s.query.Version = true, begunAt.Service, &begunAt.Version
	if !s.stopped && s.takesOver == nil {
		s.timer.Reset(s.silence)
	}
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

// stop ends the search. It returns the attempt that has taken over, or nil, and those
// that have not. If the present attempt has failed, one in flight takes over.
func (s *standby) stop(failed bool) (takesOver *attempt, ended []*attempt) {
	if s == nil {
		return nil, nil
	}
	if failed {
		s.adopt()
	}
	s.disable()
	s.mu.Lock()
	takesOver = s.takesOver
	s.mu.Unlock()
	if takesOver == nil {
		s.searches.Wait() // what it has begun ends with the search
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takesOver, s.ended
}

// adopt lets the attempt in flight take over from one that has failed.
func (s *standby) adopt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.takesOver == nil && s.inFlight != nil && s.detach() {
		s.takesOver = s.inFlight
	}
}

// endSearch requires the lock.
func (s *standby) endSearch() {
	if s.stopSearch != nil {
		s.stopSearch()
		s.stopSearch = nil
	}
}

// search asks for another replica until one has answered, the silent one goes on or the
// attempt ends.
func (s *standby) search() {
	ctx, query, ok := s.beginSearch()
	if !ok {
		return
	}
	defer s.searches.Done()
	defer contain.Recover(s.r.h.Log, "search for another replica", s.r.reqInfo.ID)
	for time.Until(s.r.deadline) >= minRemaining && ctx.Err() == nil {
		target, _ := s.r.h.Placer.Place(ctx, query)
		if target != nil {
			if s.try(ctx, target) {
				return
			}
			query.Tried = append(query.Tried, target.Info().ID)
		}
		select {
		case <-ctx.Done():
		case <-time.After(standbyRetryInterval):
		}
	}
}

// beginSearch returns the context and the query of a search, or false if the attempt
// has ended or no other replica may run the request.
func (s *standby) beginSearch() (context.Context, *placement.Query, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.takesOver != nil || s.sends <= 0 || s.runs <= 0 {
		return nil, nil, false
	}
	s.endSearch()
	ctx, cancel := context.WithCancel(s.present.ctx)
	s.stopSearch = cancel
	s.searches.Add(1)
	query := s.query
	query.Tried = slices.Clone(s.query.Tried)
	query.MaxWait = s.r.maxWait(s.lastProgress)
	return ctx, &query, true
}

// try sends the request to a replica and reports whether the search is over.
func (s *standby) try(search context.Context, target *replica.Replica) bool {
	run, ok := (*quarantine.Run)(nil), search.Err() == nil && !target.Ejected(time.Now())
	if ok {
		run, ok = s.r.h.Quarantine.Begin(s.r.parts, target)
	}
	if !ok {
		target.End(core.ClassOnline)
		return false
	}
	s.mu.Lock()
	a, exchange := newAttempt(s.ctx, target, run, s.begunAt, s.resumeAfter), s.exchange
	s.mu.Unlock()
	a.answered = make(chan struct{})
	detach := context.AfterFunc(search, func() { a.cancel(errStandbyEnded) })
	s.mu.Lock()
	s.inFlight, s.detach = a, detach
	s.mu.Unlock()
	timer := time.AfterFunc(overlapTimeout, func() { s.replace(a) })
	exchange(a)
	timer.Stop()
	close(a.answered)
	if s.r.answers(a) && s.replace(a) {
		return true
	}
	return s.end(a)
}

// replace ends the present attempt in favour of the one in flight. It returns false if
// the search has ended before.
func (s *standby) replace(a *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.takesOver == a {
		return true
	}
	if s.takesOver != nil || s.inFlight != a || !s.detach() {
		return false
	}
	s.takesOver = a
	s.endSearch()
	s.present.cancel(errReplicaTimeout)
	return true
}

// end records that an attempt does not take over, unless it has, without an answer. It
// reports whether the search is over.
func (s *standby) end(a *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.takesOver == a {
		return true
	}
	s.inFlight = nil
	a.cancel(errStandbyEnded)
	a.release()
	s.ended = append(s.ended, a)
	s.query.Tried = append(s.query.Tried, a.replica.Info().ID)
	s.sends--
	if !a.notRun() {
		s.runs--
	}
	return s.sends <= 0 || s.runs <= 0
}

// answers reports whether the response of an attempt is one that can take the place of a
// silent replica's.
func (r *request) answers(a *attempt) bool {
	switch {
	case a.err != nil || a.info.NotRun || !a.info.Signed:
		return false
	case r.route.Kind == routetable.KindStream:
		return a.response.Status == http.StatusOK && (!a.resumes || a.response.EventStream())
	default:
		return a.response.Status < http.StatusInternalServerError
	}
}
