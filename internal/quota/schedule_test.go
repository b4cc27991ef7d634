package quota

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const (
	// healTime is how long after the last fault less than the limit may be admitted.
	healTime = time.Second
	// scheduleEnd is how long the load lasts after healTime.
	scheduleEnd = 6 * time.Second
)

// schedule is a fleet, its load and what happens to it.
type schedule struct {
	sizes  []int
	seed   uint64
	limit  Limit
	load   float64 // as a multiple of the rate of the first limit
	notRun float64
	faults []fault
}

// fault is one event of a schedule.
type fault struct {
	pauseMS int
	kind    string
	node    int
	forMS   []int // of each node
	limit   Limit
}

// drawSchedule draws a schedule in which the rate and the burst of an organisation rise and
// fall together, or, with anyLimits, change apart.
func drawSchedule(rt *rapid.T, anyLimits bool) schedule {
	s := schedule{
		sizes: rapid.SliceOfN(rapid.IntRange(1, 6), 1, 3).Draw(rt, "nodes"), seed: rapid.Uint64().Draw(rt, "seed"),
		limit:  Limit{PerSecond: float64(rapid.IntRange(1, 120).Draw(rt, "rate")), Burst: float64(rapid.IntRange(0, 120).Draw(rt, "burst"))},
		load:   rapid.SampledFrom([]float64{0.4, 1, 1.9, 8}).Draw(rt, "load"),
		notRun: rapid.SampledFrom([]float64{0, 0, 0.3, 0.9}).Draw(rt, "not run"),
	}
	nextLimit := func() Limit {
		if anyLimits {
			return Limit{PerSecond: float64(rapid.IntRange(1, 120).Draw(rt, "next rate")), Burst: float64(rapid.IntRange(0, 120).Draw(rt, "next burst"))}
		}
		by := rapid.SampledFrom([]float64{0.05, 0.2, 1, 3}).Draw(rt, "scale")
		return Limit{PerSecond: by * s.limit.PerSecond, Burst: by * s.limit.Burst}
	}
	for range rapid.IntRange(0, 8).Draw(rt, "faults") {
		s.faults = append(s.faults, fault{
			pauseMS: rapid.IntRange(0, 3000).Draw(rt, "pause"),
			kind:    rapid.SampledFrom([]string{"cut", "alone", "heal", "kill", "herd", "freeze", "limit"}).Draw(rt, "fault"),
			node:    rapid.IntRange(0, 17).Draw(rt, "node"),
			forMS:   rapid.SliceOfN(rapid.IntRange(1, 3000), 18, 18).Draw(rt, "for"),
			limit:   nextLimit(),
		})
	}
	return s
}

// limitChange is a limit and when it began to hold.
type limitChange struct {
	limit Limit
	at    time.Time
}

// TestSchedules: an organisation sends 0.4 to 8 times its limit through up to 18 nodes in
// up to three data centres, which are cut off, restart, freeze and get other limits. The
// rule holds for any window, and a second after the last fault the limit is admitted.
func TestSchedules(t *testing.T) { checkSchedules(t, false) }

// TestSchedulesOfCrossingLimits is the same if the rate rises while the burst falls, or the
// reverse.
func TestSchedulesOfCrossingLimits(t *testing.T) { checkSchedules(t, true) }

func checkSchedules(t *testing.T, anyLimits bool) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSchedule(rt, anyLimits)
		var broken string
		synctest.Test(t, func(t *testing.T) { broken = s.run(t) })
		if broken != "" {
			rt.Fatal(broken)
		}
	})
}

// run plays the schedule and says what is wrong.
func (s *schedule) run(t *testing.T) string {
	org := simOrg("a", s.limit.PerSecond, s.limit.Burst)
	f := newSimFleet(t, s.seed, s.sizes, org)
	defer f.stop()
	f.notRun = s.notRun
	time.Sleep(warmUp)
	limits := []limitChange{{s.limit, time.Now().Add(-warmUp)}}
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			select {
			case <-done:
				return
			default:
				f.send(org, s.load*org.RequestsPerSecond, 200*time.Millisecond, f.any())
			}
		}
	})
	for i, event := range s.faults {
		time.Sleep(time.Duration(event.pauseMS) * time.Millisecond)
		node := f.nodes[f.ids[event.node%len(f.ids)]]
		switch event.kind {
		case "cut":
			f.cut(node.record.DataCentre, 1)
		case "alone":
			node.side.Store(int64(2 + i))
		case "heal":
			f.heal()
		case "kill":
			node.kill(event.forMS[0])
		case "herd":
			for j, id := range f.ids {
				f.nodes[id].kill(event.forMS[j] / 2)
			}
		case "freeze":
			node.freeze(event.forMS[0])
		case "limit":
			f.configure(simOrg("a", event.limit.PerSecond, event.limit.Burst))
			limits = append(limits, limitChange{event.limit, time.Now()})
		}
	}
	time.Sleep(3100 * time.Millisecond) // the last kill and freeze are over
	f.heal()
	time.Sleep(healTime)
	healed := time.Now()
	time.Sleep(scheduleEnd)
	close(done)
	wait.Wait()
	f.requests.Wait()
	if broken := f.checkWindows(limits); broken != "" {
		return broken
	}
	if last := limits[len(limits)-1].limit; s.load == 8 && s.notRun == 0 && s.limit.PerSecond >= last.PerSecond {
		return f.checkHealed(last, healed)
	}
	return ""
}

// checkWindows checks the rule, each window by the highest of the limits that held in it
// or one tick before.
func (f *simFleet) checkWindows(limits []limitChange) string {
	u := f.use["a"]
	if u == nil {
		return ""
	}
	first := 0
	for i, at := range u.admitted {
		for at.Sub(u.admitted[first]) > window {
			first++
		}
		begin := u.admitted[first].Add(-tickInterval - leaseTime)
		most := 0
		for j, change := range limits {
			if !change.at.After(at) && (j+1 == len(limits) || limits[j+1].at.After(begin)) {
				most = max(most, allowed(change.limit.PerSecond, change.limit.Burst))
			}
		}
		if n := i - first + 1; n > most {
			return fmt.Sprintf("%d admitted in a window, %d allowed", n, most)
		}
	}
	return ""
}

// checkHealed checks that the limit is admitted after the last fault.
func (f *simFleet) checkHealed(limit Limit, healed time.Time) string {
	n := 0
	for _, at := range f.use["a"].admitted {
		if at.After(healed) && at.Sub(healed) < window {
			n++
		}
	}
	if want := 0.9*limit.PerSecond*window.Seconds() - 2; float64(n) < want {
		return fmt.Sprintf("%d admitted in the window that begins %s after the last fault, want %.0f", n, healTime, want)
	}
	return ""
}

// heal ends all cuts.
func (f *simFleet) heal() {
	for _, n := range f.nodes {
		n.side.Store(0)
	}
}

func (n *simNode) kill(forMS int) {
	if n.down.Load() || n.frozen.Load() {
		return
	}
	n.restart(time.Duration(forMS) * time.Millisecond)
}

func (n *simNode) freeze(forMS int) {
	if n.down.Load() {
		return
	}
	n.frozen.Store(true)
	time.AfterFunc(time.Duration(forMS)*time.Millisecond, func() { n.frozen.Store(false) })
}
