package forward

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/placement"
	"gentiantide.example/gentiantide/internal/replica"
	"gentiantide.example/gentiantide/internal/routetable"
)

// fakePlacer places each request at its replica after a delay, from a time on.
type fakePlacer struct {
	replica *replica.Replica
	delay   time.Duration
	from    time.Time

	mu      sync.Mutex
	panics  bool
	queries []placement.Query
}

func (p *fakePlacer) Place(ctx context.Context, q *placement.Query) (*replica.Replica, time.Duration) {
	p.mu.Lock()
	p.queries = append(p.queries, *q)
	panics := p.panics
	p.mu.Unlock()
	if panics {
		panic("no place")
	}
	select {
	case <-ctx.Done():
	case <-time.After(p.delay):
	}
	if time.Now().Before(p.from) {
		return nil, 0
	}
	p.replica.Begin(core.ClassOnline)
	return p.replica, 0
}

// sent returns the queries so far.
func (p *fakePlacer) sent() []placement.Query {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.queries)
}

// standbyTest is a request to a replica that falls silent, with another one that may
// take it over.
type standbyTest struct {
	placer  *fakePlacer
	present *attempt
	standby *standby
}

const testSilence = time.Second

// answer answers after a delay, unless the attempt ends before.
func answer(delay time.Duration) func(*attempt) {
	return func(a *attempt) {
		select {
		case <-time.After(delay):
			a.response, a.info = &replica.Response{Status: http.StatusOK}, ResponseInfo{Signed: true}
		case <-a.ctx.Done():
			a.err = &replica.Failure{Sent: true, Err: context.Cause(a.ctx)}
		}
	}
}

// newStandbyTest returns a standby whose placer grants the other replica after a delay,
// from a time on. exchange is what that one does with the request.
func newStandbyTest(delay, from time.Duration, exchange func(*attempt)) *standbyTest {
	registry := replica.NewRegistry()
	for _, id := range []core.ReplicaID{"silent", "other"} {
		registry.Put(replica.Info{ID: id, Service: "models", Slots: 8, Version: "v1"})
	}
	now := time.Now()
	st := &standbyTest{placer: &fakePlacer{replica: registry.Get("other"), delay: delay, from: now.Add(from)}}
	r := &request{
		h: &Handler{Placer: st.placer, Log: slog.New(slog.DiscardHandler)}, arrived: now, lastProgress: now, deadline: now.Add(20 * time.Second), identity: 7,
		route: &routetable.Route{Kind: routetable.KindSafe, MaxAttempts: 2, CallerIdleTimeout: 2 * time.Second},
	}
	st.present = newAttempt(context.Background(), registry.Get("silent"), nil, nil, NoResume)
	st.standby = r.newStandby(context.Background(), st.present, testSilence)
	st.standby.mu.Lock()
	defer st.standby.mu.Unlock()
	st.standby.exchange = exchange
	return st
}

func (st *standbyTest) load() int {
	online, _ := st.placer.replica.LocalLoad()
	return online
}

// replaced reports whether the present attempt was ended in favour of another one.
func (st *standbyTest) replaced() bool {
	return errors.Is(context.Cause(st.present.ctx), errReplicaTimeout)
}

// Guards against a silent replica that loses its request before another one has
// answered, and against one that keeps it although another one has.
func TestStandbyReplacesSilentReplicaOnceAnotherHasAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		st := newStandbyTest(50*time.Millisecond, 3*time.Second, answer(100*time.Millisecond))
		time.Sleep(3100 * time.Millisecond)
		g.Expect(st.replaced()).To(gomega.BeFalse())
		time.Sleep(time.Second)
		g.Expect(st.replaced()).To(gomega.BeTrue())
		g.Expect(st.placer.sent()[0].Tried).To(gomega.Equal([]core.ReplicaID{"silent"}))
		takesOver, ended := st.standby.stop(false)
		g.Expect(takesOver.replica).To(gomega.BeIdenticalTo(st.placer.replica))
		g.Expect(takesOver.answered).To(gomega.BeClosed())
		g.Expect(ended).To(gomega.BeEmpty())
		g.Expect(st.load()).To(gomega.Equal(1))
		takesOver.cancel(nil)
	})
}

// Guards against a request that is at work at two replicas for longer than 400 ms.
func TestStandbyDoesNotWaitLongForTheOtherAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		st := newStandbyTest(0, 0, answer(time.Hour))
		time.Sleep(testSilence + overlapTimeout - time.Millisecond)
		g.Expect(st.replaced()).To(gomega.BeFalse())
		time.Sleep(2 * time.Millisecond)
		g.Expect(st.replaced()).To(gomega.BeTrue())
		takesOver, _ := st.standby.stop(false)
		g.Expect(takesOver.replica).To(gomega.BeIdenticalTo(st.placer.replica))
		g.Expect(takesOver.answered).NotTo(gomega.BeClosed())
		takesOver.cancel(nil)
		<-takesOver.answered
	})
}

// Guards against a silent replica that loses its request to one that takes none.
func TestStandbyKeepsSilentReplicaIfTheOtherOneRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		st := newStandbyTest(0, 0, func(a *attempt) { a.info.NotRun = true })
		time.Sleep(testSilence + 3*standbyRetryInterval + time.Millisecond)
		g.Expect(st.replaced()).To(gomega.BeFalse())
		g.Expect(st.load()).To(gomega.Equal(0))
		g.Expect(st.placer.sent()[1].Tried).To(gomega.Equal([]core.ReplicaID{"silent", "other"}))
		takesOver, ended := st.standby.stop(false)
		g.Expect(takesOver).To(gomega.BeNil())
		g.Expect(ended).To(gomega.HaveLen(maxSends - 1))
		for _, a := range ended {
			g.Expect(a.notRun()).To(gomega.BeTrue())
		}
	})
}

// Guards against a replica that is replaced although it has gone on, against a slot that
// stays counted, and against a request that runs at more replicas than its route allows.
func TestStandbyGivesUpWhenTheReplicaGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		st := newStandbyTest(0, 0, answer(200*time.Millisecond))
		time.Sleep(testSilence + 100*time.Millisecond) // the request was sent to the other one
		g.Expect(st.load()).To(gomega.Equal(1))
		st.standby.recordProgress(time.Now(), &replica.Software{Service: "models", Version: "v1"}, 3)
		synctest.Wait()
		g.Expect(st.load()).To(gomega.Equal(0))
		time.Sleep(5 * testSilence) // silent again, but two replicas have had it
		g.Expect(st.placer.sent()).To(gomega.HaveLen(1))
		takesOver, ended := st.standby.stop(false)
		g.Expect(takesOver).To(gomega.BeNil())
		g.Expect(ended).To(gomega.HaveLen(1))
		g.Expect(ended[0].notRun()).To(gomega.BeFalse())
		g.Expect(st.replaced()).To(gomega.BeFalse())
	})
}

// Guards against a search that asks for any replica, or for the whole stream, after a
// part of it was passed on, and against a slot that is granted too late and stays
// counted.
func TestStandbyGoesOnAfterTheLastEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		st := newStandbyTest(500*time.Millisecond, 0, answer(0))
		time.Sleep(testSilence + 200*time.Millisecond) // the search has begun
		st.standby.recordProgress(time.Now(), &replica.Software{Service: "models", Version: "v1"}, 3)
		time.Sleep(testSilence - time.Millisecond)
		g.Expect(st.replaced()).To(gomega.BeFalse())
		g.Expect(st.load()).To(gomega.Equal(0))
		time.Sleep(time.Second) // silent again
		g.Expect(st.placer.sent()).To(gomega.HaveLen(2))
		g.Expect(st.placer.sent()[1].Urgent).To(gomega.BeTrue())
		g.Expect(*st.placer.sent()[1].Version).To(gomega.Equal(core.SoftwareVersion("v1")))
		takesOver, _ := st.standby.stop(false)
		g.Expect(takesOver.resumeAfter).To(gomega.Equal(int64(3)))
		g.Expect(takesOver.resumes).To(gomega.BeTrue())
		takesOver.cancel(nil)
	})
}

// Guards against a stream that nobody can go on with: both replicas went on at the same
// moment, the caller got an event of the one, and the other had taken over without it.
func TestEventIsSentByTheAttemptThatHasTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		st := newStandbyTest(0, 0, answer(100*time.Millisecond))
		time.Sleep(testSilence + 50*time.Millisecond) // the other one has not answered
		g.Expect(st.standby.claim(true)).To(gomega.BeTrue())
		g.Expect(st.standby.claim(false)).To(gomega.BeTrue())
		time.Sleep(testSilence)
		g.Expect(st.replaced()).To(gomega.BeFalse())
		_, ended := st.standby.stop(false)
		g.Expect(ended).To(gomega.HaveLen(1))

		st = newStandbyTest(0, 0, answer(0))
		time.Sleep(testSilence + 50*time.Millisecond)
		g.Expect(st.replaced()).To(gomega.BeTrue())
		g.Expect(st.standby.claim(true)).To(gomega.BeFalse())
		g.Expect(st.standby.claim(false)).To(gomega.BeFalse())
		takesOver, _ := st.standby.stop(false)
		takesOver.cancel(nil)
	})
}

// Guards against a request that moves from a silent replica to one that has failed.
func TestStandbyDoesNotUseEjectedReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		st := newStandbyTest(0, 0, answer(0))
		st.placer.replica.MarkUnreachable(time.Now())
		time.Sleep(testSilence + 2*standbyRetryInterval)
		synctest.Wait()
		g.Expect(st.placer.sent()).NotTo(gomega.BeEmpty())
		g.Expect(st.replaced()).To(gomega.BeFalse())
		g.Expect(st.load()).To(gomega.Equal(0))
		st.standby.stop(false)
	})
}

// Guards against a request that fails with the silent replica although another one has it
// and is about to answer: the route allows no further run.
func TestStandbyInFlightTakesOverFromFailedReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		st := newStandbyTest(0, 0, answer(200*time.Millisecond))
		time.Sleep(testSilence + 100*time.Millisecond)
		takesOver, ended := st.standby.stop(true)
		g.Expect(takesOver).NotTo(gomega.BeNil())
		g.Expect(ended).To(gomega.BeEmpty())
		<-takesOver.answered
		g.Expect(takesOver.err).NotTo(gomega.HaveOccurred())
		g.Expect(takesOver.response.Status).To(gomega.Equal(http.StatusOK))
		g.Expect(st.load()).To(gomega.Equal(1), "it is released by the request")
		takesOver.cancel(nil)

		st = newStandbyTest(0, 0, answer(200*time.Millisecond))
		time.Sleep(testSilence - 100*time.Millisecond) // no search has begun
		takesOver, ended = st.standby.stop(true)
		g.Expect(takesOver).To(gomega.BeNil())
		g.Expect(ended).To(gomega.BeEmpty())
	})
}

// Guards against a panic in the search for another replica that ends the process with
// the requests of all callers.
func TestPanicInASearchIsContained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		st := newStandbyTest(0, 0, answer(0))
		st.placer.mu.Lock()
		st.placer.panics = true
		st.placer.mu.Unlock()
		time.Sleep(2 * testSilence)
		takesOver, ended := st.standby.stop(false)
		g.Expect(takesOver).To(gomega.BeNil())
		g.Expect(ended).To(gomega.BeEmpty())
		g.Expect(st.replaced()).To(gomega.BeFalse())
	})
}

// Guards against an attempt that takes over after it has ended and given back its slot:
// the time for its answer is over at the moment at which the replica declines it.
func TestEndedStandbyDoesNotTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		st := newStandbyTest(0, 0, func(a *attempt) { a.info.NotRun = true })
		time.Sleep(testSilence + time.Millisecond)
		synctest.Wait()
		st.standby.mu.Lock()
		ended := st.standby.ended
		st.standby.mu.Unlock()
		g.Expect(ended).To(gomega.HaveLen(1))
		g.Expect(st.standby.replace(ended[0])).To(gomega.BeFalse())
		g.Expect(st.replaced()).To(gomega.BeFalse())
		st.standby.stop(false)
	})
}
