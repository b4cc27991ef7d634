package forward

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/routetable"
)

// Guards against a stopping node that accepts a stream or a batch job which it cannot
// end, and against one that refuses what it can serve.
func TestStopRefusesWhatCannotEndInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	began := time.Now()
	lastLong, over := began.Add(3*time.Second), began.Add(7*time.Second)
	s := NewStop()
	late := lastLong.Add(time.Millisecond)
	g.Expect(s.refuses(routetable.KindStream, late, over.Add(time.Hour))).To(gomega.BeFalse()) // it does not stop
	s.Begin(lastLong, over)
	for _, kind := range []routetable.Kind{routetable.KindStream, routetable.KindBatch} {
		g.Expect(s.refuses(kind, lastLong, over.Add(time.Hour))).To(gomega.BeFalse())
		g.Expect(s.refuses(kind, late, over.Add(time.Millisecond))).To(gomega.BeTrue())
		g.Expect(s.refuses(kind, late, over)).To(gomega.BeFalse())
	}
	for _, kind := range []routetable.Kind{routetable.KindSafe, routetable.KindUnsafe} {
		g.Expect(s.refuses(kind, late, over.Add(time.Hour))).To(gomega.BeFalse())
		g.Expect(s.refuses(kind, over.Add(time.Millisecond), over.Add(time.Hour))).To(gomega.BeTrue())
		g.Expect(s.refuses(kind, over.Add(-shortRequestTime), over.Add(time.Hour))).To(gomega.BeFalse())
		g.Expect(s.refuses(kind, over.Add(time.Millisecond-shortRequestTime), over.Add(time.Hour))).To(gomega.BeTrue())
		g.Expect(s.refuses(kind, over.Add(time.Millisecond-shortRequestTime), over)).To(gomega.BeFalse())
	}
}

// Guards against a node with little time to stop that accepts streams although it ends
// all requests before the usual time for them is over.
func TestShortStopRefusesStreams(t *testing.T) {
	g := gomega.NewWithT(t)
	over := time.Now().Add(2 * time.Second)
	s := NewStop()
	s.Begin(over.Add(time.Second), over)
	g.Expect(s.refuses(routetable.KindStream, over.Add(-time.Millisecond), over.Add(time.Hour))).To(gomega.BeTrue())
	g.Expect(s.refuses(routetable.KindStream, over.Add(-2*time.Second), over.Add(time.Hour))).To(gomega.BeFalse())
}

// Guards against a request that is still sent to a replica after the end of the stop.
func TestRequestAfterTheStopIsEndedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewStop()
	s.Begin(time.Now(), time.Now())
	<-s.over.Done()
	ctx, cancel := context.WithCancelCause(t.Context())
	defer s.watch(cancel)()
	g.Expect(context.Cause(ctx)).To(gomega.MatchError(errStopOver))
}
