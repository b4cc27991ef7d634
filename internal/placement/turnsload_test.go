package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
)

// The load of a large deployment with organisations, at a quarter of its size: 81
// organisations whose demand falls with their rank, 24 replicas of 8 slots, waves of 0.38
// and 1.87 times the mean every 5.8 s whose crests the replicas just hold.
const (
	turnsOrgs     = 81
	turnsReplicas = 24
	turnsSlots    = 8
	turnsRate     = 112.0 // requests per second, mean
	turnsSkew     = 0.7   // exponent of the rank
	turnsLearned  = 12 * time.Second
	turnsHot      = 7 * time.Second
	turnsLength   = 32 * time.Second
)

// orgResult is what became of the requests of one organisation.
type orgResult struct {
	asked, onTime, late, refused int
	waits                        []time.Duration
}

func (r *orgResult) served() float64 { return float64(r.onTime+r.late) / float64(max(1, r.asked)) }
func (r *orgResult) share() float64  { return float64(r.onTime) / float64(max(1, r.asked)) }

// turnsLoad plays organisations of which some send many times their usual.
type turnsLoad struct {
	s       *scheduler
	rng     *rand.Rand
	now     time.Time
	next    uint64
	fair    bool // the requests name their organisation
	ends    map[int64][]*assignment
	queued  map[uint64]int // organisation by request
	results [turnsOrgs]orgResult
}

func (l *turnsLoad) grant(assigned ...*assignment) {
	for _, a := range assigned {
		org := l.queued[a.id]
		delete(l.queued, a.id)
		end := l.now.Add(time.Duration(loadServiceTime * (0.5 + l.rng.Float64()) * float64(time.Second))).UnixMilli()
		l.ends[end] = append(l.ends[end], a)
		r := &l.results[org]
		r.waits = append(r.waits, l.now.Sub(a.arrivedAt))
		if a.late(l.now) {
			r.late++
		} else {
			r.onTime++
		}
	}
}

func (l *turnsLoad) refuse(id uint64) {
	l.results[l.queued[id]].refused++
	delete(l.queued, id)
}

func (l *turnsLoad) arrive(org int) {
	l.next++
	req := testRequest(l.next)
	if l.fair {
		req.Org = core.Org(fmt.Sprintf("org-%d", org))
	}
	l.queued[l.next] = org
	l.results[org].asked++
	switch answer, assigned := l.s.place("a", req, l.now); answer.Outcome {
	case outcomeGranted:
		l.grant(assigned)
	case outcomeRejected:
		l.refuse(l.next)
	}
}

// playTurns plays the load, in which the hot organisations, given by rank, send a multiple
// of their usual for a while.
func playTurns(seed uint64, fair bool, times float64, hot ...int) *turnsLoad {
	l := &turnsLoad{s: newTestScheduler(turnsReplicas, turnsSlots), rng: rand.New(rand.NewPCG(seed, 2)), fair: fair, ends: make(map[int64][]*assignment), queued: make(map[uint64]int)}
	rates, sum := [turnsOrgs]float64{}, 0.0
	for i := range rates {
		rates[i] = math.Pow(float64(i+1), -turnsSkew)
		sum += rates[i]
	}
	began := time.UnixMilli(1e12)
	for elapsed := time.Duration(0); elapsed < turnsLength; elapsed += time.Millisecond {
		l.now = began.Add(elapsed)
		for _, a := range l.ends[l.now.UnixMilli()] {
			l.s.removeGrant(a.grantID, a.node)
		}
		delete(l.ends, l.now.UnixMilli())
		inHot := elapsed >= turnsLearned && elapsed < turnsLearned+turnsHot
		for org, rate := range rates {
			if inHot && slices.Contains(hot, org) {
				rate *= times
			}
			if p := turnsRate * rateFactor(elapsed.Seconds()) * rate / sum / 1000; l.rng.Float64() < p {
				l.arrive(org)
			}
		}
		l.grant(l.s.dispatch(l.now)...)
		if elapsed%tickInterval == 0 {
			l.s.expire(l.now)
			for _, r := range l.s.rejectHopeless(l.now) {
				l.refuse(r.id)
			}
		}
	}
	return l
}

// others returns the results of the organisations that are not hot: the mean share on
// time, that of the worst tenth, and the 99th percentile of the waits.
func (l *turnsLoad) others(hot ...int) (mean, worst float64, p99 time.Duration) {
	var shares []float64
	var waits []time.Duration
	asked, onTime := 0, 0
	for org := range l.results {
		if r := &l.results[org]; !slices.Contains(hot, org) && r.asked > 0 {
			shares = append(shares, r.share())
			waits = append(waits, r.waits...)
			asked, onTime = asked+r.asked, onTime+r.onTime
		}
	}
	slices.Sort(shares)
	slices.Sort(waits)
	tenth := shares[:max(1, len(shares)/10)]
	for _, s := range tenth {
		worst += s / float64(len(tenth))
	}
	return float64(onTime) / float64(asked), worst, waits[len(waits)*99/100]
}

// served returns the number of all requests that were served.
func (l *turnsLoad) served() int {
	n := 0
	for org := range l.results {
		n += l.results[org].onTime + l.results[org].late
	}
	return n
}

// Guards against organisations that pay for others which send eight times their usual:
// one of ranks 1 and 3, and three at once. Before is the queue without organisations.
func TestHotOrganisationDelaysNoOther(t *testing.T) {
	for _, hot := range [][]int{nil, {0}, {2}, {0, 1, 2}} {
		t.Run(fmt.Sprint(hot), func(t *testing.T) {
			g := gomega.NewWithT(t)
			for seed := range uint64(2) {
				calm, before, after := playTurns(seed, true, 1), playTurns(seed, false, 8, hot...), playTurns(seed, true, 8, hot...)
				_, _, calmP99 := calm.others(hot...)
				meanBefore, worstBefore, p99Before := before.others(hot...)
				mean, worst, p99 := after.others(hot...)
				t.Logf("seed %d: the others on time %.3f and %.3f, their worst tenth %.3f and %.3f, p99 %v and %v (calm %v); served in all %d of %d and %d of %d",
					seed, meanBefore, mean, worstBefore, worst, p99Before, p99, calmP99, before.served(), before.asked(), after.served(), after.asked())
				for _, org := range hot {
					b, a := before.results[org], after.results[org]
					t.Logf("hot: asked %d and %d, on time %d and %d, late %d and %d, refused %d and %d", b.asked, a.asked, b.onTime, a.onTime, b.late, a.late, b.refused, a.refused)
				}
				g.Expect(worst).To(gomega.BeNumerically(">=", mean-0.05))
				if len(hot) == 0 {
					g.Expect(worst).To(gomega.BeNumerically("~", worstBefore, 0.01), "nothing changes without hot ones")
				} else {
					g.Expect(worst).To(gomega.BeNumerically(">", worstBefore))
				}
				all, allBefore := float64(after.served())/float64(after.asked()), float64(before.served())/float64(before.asked())
				g.Expect(all).To(gomega.BeNumerically(">=", 0.98*allBefore), "no slot stays idle")
				for _, org := range hot {
					g.Expect(after.results[org].served()).To(gomega.BeNumerically(">=", all/4), "never starved")
				}
			}
		})
	}
}

func (l *turnsLoad) asked() int {
	n := 0
	for org := range l.results {
		n += l.results[org].asked
	}
	return n
}
