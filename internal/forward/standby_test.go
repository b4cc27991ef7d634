package forward

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
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
	queries []placement.Query
}

func (p *fakePlacer) Place(ctx context.Context, q *placement.Query) (*replica.Replica, time.Duration) {
	p.mu.Lock()
	p.queries = append(p.queries, *q)
	p.mu.Unlock()
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
	placer   *fakePlacer
	standby  *standby
	replaced atomic.Int32
}

const testSilence = time.Second

func newStandbyTest(delay, from time.Duration) *standbyTest {
	registry := replica.NewRegistry()
	for _, id := range []core.ReplicaID{"silent", "other"} {
		registry.Put(replica.Info{ID: id, Service: "models", Slots: 8})
	}
	now := time.Now()
	st := &standbyTest{placer: &fakePlacer{replica: registry.Get("other"), delay: delay, from: now.Add(from)}}
	r := &request{
		h: &Handler{Placer: st.placer}, arrived: now, lastProgress: now, deadline: now.Add(20 * time.Second), identity: 7,
		route: &routetable.Route{Kind: routetable.KindStream, CanResume: true, MaxAttempts: 2, CallerIdleTimeout: 2 * time.Second},
	}
	st.standby = r.newStandby(context.Background(), registry.Get("silent"), testSilence, func() { st.replaced.Add(1) })
	return st
}

func (st *standbyTest) load() int {
	online, _ := st.placer.replica.LocalLoad()
	return online
}

// Guards against a silent replica that loses its request before another one was
// granted, and against one that keeps it although another one is free.
func TestStandbyReplacesSilentReplicaOnceAnotherIsGranted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		st := newStandbyTest(50*time.Millisecond, 3*time.Second)
		time.Sleep(2900 * time.Millisecond)
		g.Expect(st.replaced.Load()).To(gomega.BeZero())
		time.Sleep(time.Second)
		g.Expect(st.replaced.Load()).To(gomega.Equal(int32(1)))
		g.Expect(st.placer.sent()[0].Tried).To(gomega.Equal([]core.ReplicaID{"silent"}))
		g.Expect(st.standby.stop()).To(gomega.BeIdenticalTo(st.placer.replica))
		g.Expect(st.load()).To(gomega.Equal(1))
	})
}

// Guards against a replica that is replaced although it has gone on, and against a slot
// that stays counted at the one that was granted too late.
func TestStandbyGivesBackWhatIsGrantedAfterProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		st := newStandbyTest(500*time.Millisecond, 0)
		time.Sleep(testSilence + 200*time.Millisecond) // the search has begun
		st.standby.recordProgress(time.Now(), &replica.Software{Service: "models", Version: "v1"})
		time.Sleep(testSilence - time.Millisecond)
		g.Expect(st.replaced.Load()).To(gomega.BeZero())
		g.Expect(st.load()).To(gomega.Equal(0))
		time.Sleep(2 * time.Millisecond) // silent again
		synctest.Wait()
		g.Expect(st.placer.sent()).To(gomega.HaveLen(2))
		g.Expect(st.placer.sent()[1].Urgent).To(gomega.BeTrue())
		g.Expect(*st.placer.sent()[1].Version).To(gomega.Equal(core.SoftwareVersion("v1")))
		g.Expect(st.standby.stop()).To(gomega.BeNil())
		synctest.Wait()
		g.Expect(st.replaced.Load()).To(gomega.BeZero())
		g.Expect(st.load()).To(gomega.Equal(0))
	})
}

// Guards against a request that moves from a silent replica to one that has failed.
func TestStandbyDoesNotTakeEjectedReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		st := newStandbyTest(0, 0)
		st.placer.replica.MarkUnreachable(time.Now())
		time.Sleep(testSilence + 2*standbyRetryInterval)
		synctest.Wait()
		g.Expect(st.placer.sent()).NotTo(gomega.BeEmpty())
		g.Expect(st.replaced.Load()).To(gomega.BeZero())
		g.Expect(st.load()).To(gomega.Equal(0))
		st.placer.replica.RecordSuccess()
		time.Sleep(2 * standbyRetryInterval)
		synctest.Wait()
		g.Expect(st.replaced.Load()).To(gomega.Equal(int32(1)))
		st.standby.stop()
	})
}
