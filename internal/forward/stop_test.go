package forward

import (
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
	}
}
