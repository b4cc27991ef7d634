package memaccount

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "gentiantide.example/gentiantide/internal/fixedseed"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// Answers many large bodies beside ordinary requests: the large ones leave the reserve.
func TestReserveIsForSmallHolders(t *testing.T) {
	g := gomega.NewWithT(t)
	a := New(Limits{Bytes: 1000, Reserve: 250, Small: 100})
	large, small := a.Open(start, func() {}), a.Open(start, func() {})
	g.Expect(large.Reserve(750)).To(gomega.BeTrue())
	g.Expect(large.Reserve(1)).To(gomega.BeFalse())
	g.Expect(small.Reserve(100)).To(gomega.BeTrue())
	g.Expect(small.Reserve(1)).To(gomega.BeFalse(), "a small holder that grows")
	freed := a.Freed()
	large.Close()
	g.Expect(freed).To(gomega.BeClosed())
	g.Expect(small.Reserve(650)).To(gomega.BeTrue())
}

// Answers a crowd of bodies of which some stand still, some drip and one is sent at a
// usual pace.
func TestSlowestEndsFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	a := New(Limits{Bytes: 1 << 20, Small: 1 << 10})
	var ended []string
	open := func(name string, bytes int64, everySecond int64) *Holder {
		h := a.Open(start, func() { ended = append(ended, name) })
		h.Reserve(bytes)
		for s := range 3 {
			h.Received(everySecond, at(time.Duration(s)*time.Second))
		}
		return h
	}
	open("still", 100, 0)
	open("still and large", 5000, 0)
	open("drips", 100, 50)
	sound := open("sound", 5000, MinPace)
	young := a.Open(at(2900*time.Millisecond), func() { ended = append(ended, "young") })
	now := at(3 * time.Second)
	for range 3 {
		g.Expect(a.EndFor(now, sound)).To(gomega.BeTrue())
	}
	g.Expect(ended).To(gomega.Equal([]string{"still and large", "still", "drips"}))
	g.Expect(a.EndFor(now, sound)).To(gomega.BeFalse(), "none progresses less")
	g.Expect(a.EndFor(now, young)).To(gomega.BeTrue(), "a small one ends the slowest")
	g.Expect(a.EndSlowest(now)).To(gomega.BeFalse(), "one that is too young to be judged")
	g.Expect(sound.Ended()).To(gomega.BeTrue())
	g.Expect(sound.Complete()).To(gomega.BeFalse())
}

// Answers a crowd of large bodies at a sound pace: no large one ends another of them.
func TestLargeSparesThoseAboveMinPace(t *testing.T) {
	g := gomega.NewWithT(t)
	a := New(Limits{Bytes: 1000, Small: 100})
	other, large := a.Open(start, func() {}), a.Open(start, func() {})
	g.Expect(large.Reserve(900)).To(gomega.BeTrue())
	other.Received(MinPace, at(900*time.Millisecond))
	large.Received(10*MinPace, at(900*time.Millisecond))
	g.Expect(a.EndFor(at(time.Second), large)).To(gomega.BeFalse())
	other.Complete()
	large.Complete()
	g.Expect(a.EndSlowest(at(time.Hour))).To(gomega.BeFalse(), "complete ones do not end")
}

// Answers any order of charges: the sum is that of the holders and within the bounds.
func TestAccountAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(Limits{Bytes: 1000, Reserve: 300, Small: 50})
		holders, held := make([]*Holder, 5), make([]int64, 5)
		for i := range holders {
			holders[i] = a.Open(start, func() {})
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i, n := rapid.IntRange(0, 4).Draw(t, "holder"), rapid.Int64Range(1, 400).Draw(t, "bytes")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				n = min(n, held[i])
				holders[i].Release(n)
				held[i] -= n
			case 1:
				holders[i].Close()
				held[i] = 0
				holders[i] = a.Open(start, func() {})
			default:
				if holders[i].Reserve(n) {
					held[i] += n
				}
			}
			var sum, large int64
			for _, b := range held {
				sum += b
				if b > 50 {
					large += b
				}
			}
			if used := a.Stats().Used; used != sum || sum > 1000 || large > 700 {
				t.Fatalf("used %d, sum %d, of large holders %d", used, sum, large)
			}
		}
	})
}

// Answers the smallest and the largest VM: a body of 4 MiB with its decoded copies fits
// beside the reserve from 112 MB on.
func TestLargestBodyFits(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, mb := range []int64{112, 144, 184, 424, 536} {
		h := New(ForMemory(mb<<20)).Open(start, func() {})
		g.Expect(h.Reserve(4*4<<20)).To(gomega.BeTrue(), "%d MB", mb)
	}
}
