package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
)

// crashSeries adds n crashes of different replicas, one every gap, with one suspect
// each.
func crashSeries(t *crashTally, from time.Time, n int, gap time.Duration, suspect func(i int) []Part) time.Time {
	for i := range n {
		t.add(core.ReplicaID(fmt.Sprintf("i-%d-%d", from.UnixNano(), i)), suspect(i), from)
		from = from.Add(gap)
	}
	return from
}

func candidateParts(t *crashTally) []Part {
	var out []Part
	for _, c := range t.candidates() {
		out = append(out, c.part)
	}
	return out
}

// own returns a part that no other request has.
func own(i int) Part { return Part(fmt.Sprintf("own-%d", i)) }

// Guards against holding the first part responsible, which many sound requests share,
// when a later part of the same requests crashes replicas.
func TestMostSpecificCommonPartComesFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	tally := &crashTally{}
	now := crashSeries(tally, time.Now(), 5, 200*time.Millisecond, func(i int) []Part { return []Part{"first", "bad", own(i)} })
	g.Expect(candidateParts(tally)).To(gomega.Equal([]Part{"bad", "first"}))
	crashSeries(tally, now, 2, 200*time.Millisecond, func(i int) []Part { return []Part{"first", own(10 + i)} })
	g.Expect(candidateParts(tally)).To(gomega.Equal([]Part{"bad", "first"}))
	tally.explain("bad")
	g.Expect(candidateParts(tally)).To(gomega.BeEmpty())
}

// Guards against crashing requests that are not found because their other parts
// differ, or because sound requests are at the replicas at the same time.
func TestCommonFirstPartIsFound(t *testing.T) {
	g := gomega.NewWithT(t)
	tally := &crashTally{}
	now := time.Now()
	for i := range 4 {
		replica := core.ReplicaID(fmt.Sprintf("i-%d", i))
		tally.add(replica, []Part{own(i), own(i + 50)}, now)
		tally.add(replica, []Part{"bad", own(i + 100)}, now.Add(time.Millisecond))
		now = now.Add(200 * time.Millisecond)
	}
	g.Expect(candidateParts(tally)).To(gomega.Equal([]Part{"bad"}))
}

// Guards against quarantining a popular part because many replicas failed at once,
// with a rack or a switch.
func TestReplicasThatFailTogetherCountOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	tally := &crashTally{}
	crashSeries(tally, time.Now(), 20, 4*time.Millisecond, func(int) []Part { return []Part{"popular"} })
	g.Expect(candidateParts(tally)).To(gomega.BeEmpty())
}

// Guards against crashes that count against a part although a later run with it
// proved harmless, and against an acquittal of later crashes.
func TestAcquittalCoversEarlierCrashesOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	tally := &crashTally{}
	start := time.Now()
	now := crashSeries(tally, start, 3, 200*time.Millisecond, func(int) []Part { return []Part{"popular", "bad"} })
	tally.acquit("popular", now)
	g.Expect(candidateParts(tally)).To(gomega.Equal([]Part{"bad"}))
	crashSeries(tally, now.Add(time.Second), 3, 200*time.Millisecond, func(int) []Part { return []Part{"popular"} })
	g.Expect(candidateParts(tally)).To(gomega.ConsistOf(Part("bad"), Part("popular")))
}

// Guards against a tally that grows without bound, and against crashes of long ago
// that count.
func TestTallyIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	tally := &crashTally{}
	now := crashSeries(tally, time.Now(), 3*maxCrashes, time.Millisecond, func(i int) []Part { return []Part{own(i)} })
	g.Expect(len(tally.crashes)).To(gomega.BeNumerically("<=", maxCrashes))
	for i := range 3 * maxSuspects {
		tally.add("i-busy", []Part{own(i)}, now)
	}
	g.Expect(tally.crashes[len(tally.crashes)-1].suspects).To(gomega.HaveLen(maxSuspects))
	tally.add("i-late", []Part{"late"}, now.Add(crashRetention+time.Second))
	g.Expect(tally.crashes).To(gomega.HaveLen(1))
}
