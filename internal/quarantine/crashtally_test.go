package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
)

// crashSeries adds n crashes of different replicas, one every gap, with one suspect
// each.
func crashSeries(t *crashTally, from time.Time, n int, gap time.Duration, suspect func(i int) []Part) time.Time {
	for i := range n {
		addCrash(t, core.ReplicaID(fmt.Sprintf("i-%d-%d", from.UnixNano(), i)), suspect(i), from)
		from = from.Add(gap)
	}
	return from
}

// responsible returns the part that the tally holds responsible, or "" if there is
// none, while some parts are quarantined. Other runs have proved harmless all the while.
func responsible(t *crashTally, now time.Time, quarantined ...Part) Part {
	if c := mostLikely(t.candidates(oneOf(quarantined))); c != nil && c.convincing(now) {
		return c.part
	}
	return ""
}

// oneOf returns a function that reports whether a part is one of some.
func oneOf(parts []Part) func(Part) bool {
	return func(p Part) bool { return slices.Contains(parts, p) }
}

// own returns a part that no other request has.
func own(i int) Part { return Part(fmt.Sprintf("own-%d", i)) }

// Guards against holding the first part responsible, which many sound requests share,
// when a later part of the same requests crashes replicas. Sound requests with the
// first part are at replicas that crash, too.
func TestMostSpecificCommonPartIsResponsible(t *testing.T) {
	g := gomega.NewWithT(t)
	tally := &crashTally{}
	now := time.Now()
	for i := range 5 {
		replica := core.ReplicaID(fmt.Sprintf("i-%d", i))
		addCrash(tally, replica, []Part{"first", own(i), own(i + 50)}, now)
		addCrash(tally, replica, []Part{"first", "bad", own(i + 100)}, now)
		now = now.Add(200 * time.Millisecond)
	}
	now = crashSeries(tally, now, 1, 200*time.Millisecond, func(i int) []Part { return []Part{"first", own(10)} })
	g.Expect(responsible(tally, now)).To(gomega.Equal(Part("bad")))
}

// Guards against holding a later part responsible that happens to be in some of the
// crashes of the first one.
func TestCommonFirstPartIsResponsible(t *testing.T) {
	g := gomega.NewWithT(t)
	tally := &crashTally{}
	now := crashSeries(tally, time.Now(), 6, 200*time.Millisecond, func(i int) []Part { return []Part{"bad", own(i / 3), own(100 + i)} })
	g.Expect(responsible(tally, now)).To(gomega.Equal(Part("bad")))
}

// Guards against holding the parts of sound requests responsible that were at the
// replicas that another part has crashed. On the tainted day a first part was
// quarantined that was in three of eight such crashes.
func TestVictimsOfExplainedCrashesAreNotResponsible(t *testing.T) {
	g := gomega.NewWithT(t)
	tally := &crashTally{}
	now := time.Now()
	for i := range 8 {
		replica := core.ReplicaID(fmt.Sprintf("i-%d", i))
		addCrash(tally, replica, []Part{own(i), "bad", own(i + 100)}, now)
		if i%3 == 1 || i == 6 {
			addCrash(tally, replica, []Part{"popular", own(i + 50), own(i + 200)}, now)
		}
		now = now.Add(110 * time.Millisecond)
	}
	g.Expect(responsible(tally, now)).To(gomega.Equal(Part("bad")))
	g.Expect(responsible(tally, now, "bad")).To(gomega.Equal(Part("")))
	g.Expect(tally.candidates(oneOf([]Part{"bad"}))).To(gomega.BeEmpty())
}

// Guards against quarantining a popular part that is by chance in some of many
// crashes with other causes.
func TestPartInFewOfManyCrashesIsNotResponsible(t *testing.T) {
	g := gomega.NewWithT(t)
	tally := &crashTally{}
	now := crashSeries(tally, time.Now(), 12, 300*time.Millisecond, func(i int) []Part {
		if i%4 == 0 {
			return []Part{"popular", own(i)}
		}
		return []Part{own(i), own(i + 100)}
	})
	g.Expect(responsible(tally, now)).To(gomega.Equal(Part("")))
}

// Guards against two parts that crash replicas at the same time and are both held to
// be in too few of the crashes.
func TestTwoPartsAreFoundOneAfterTheOther(t *testing.T) {
	g := gomega.NewWithT(t)
	tally := &crashTally{}
	now := crashSeries(tally, time.Now(), 8, 200*time.Millisecond, func(i int) []Part {
		return []Part{own(50 + i), Part([]string{"bad", "worse"}[i%2]), own(i)}
	})
	found := []Part{responsible(tally, now)}
	found = append(found, responsible(tally, now, found...))
	g.Expect(found).To(gomega.ConsistOf(Part("bad"), Part("worse")))
}

// Guards against quarantining a popular part because many replicas failed at once,
// with a rack or a switch.
func TestReplicasThatFailTogetherCountOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	tally := &crashTally{}
	now := crashSeries(tally, time.Now(), 20, 4*time.Millisecond, func(int) []Part { return []Part{"popular"} })
	g.Expect(responsible(tally, now)).To(gomega.Equal(Part("")))
}

// Guards against crashes that count against a part although a later run with it
// proved harmless, and against an acquittal of later crashes.
func TestAcquittalCoversEarlierCrashesOnly(t *testing.T) {
	g := gomega.NewWithT(t)
	tally := &crashTally{}
	now := crashSeries(tally, time.Now(), 4, 200*time.Millisecond, func(int) []Part { return []Part{"popular"} })
	tally.acquit("popular", now)
	g.Expect(responsible(tally, now)).To(gomega.Equal(Part("")))
	now = crashSeries(tally, now, 4, 200*time.Millisecond, func(int) []Part { return []Part{"popular"} })
	g.Expect(responsible(tally, now)).To(gomega.Equal(Part("popular")))
}

// Guards against a tally that grows without bound, and against crashes of long ago
// that count.
func TestTallyIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	tally := &crashTally{}
	now := crashSeries(tally, time.Now(), 3*maxCrashes, time.Millisecond, func(i int) []Part { return []Part{own(i)} })
	g.Expect(len(tally.crashes)).To(gomega.BeNumerically("<=", maxCrashes))
	for i := range 3 * maxRuns {
		addCrash(tally, "i-busy", []Part{own(i)}, now)
	}
	g.Expect(tally.crashes[len(tally.crashes)-1].runs).To(gomega.HaveLen(maxRuns))
	for i := range 3 * maxHarmless {
		tally.acquit(own(i), now)
	}
	g.Expect(len(tally.harmless)).To(gomega.BeNumerically("<=", maxHarmless))
	addCrash(tally, "i-late", []Part{"late"}, now.Add(crashRetention+time.Second))
	g.Expect(tally.crashes).To(gomega.HaveLen(1))
}

// addCrash adds a crash of a replica with a run.
func addCrash(t *crashTally, replica core.ReplicaID, run []Part, at time.Time) {
	t.add(&crash{replica: replica, at: at, runs: [][]Part{run}}, at)
}
