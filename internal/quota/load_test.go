package quota

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gentiantide.example/gentiantide/internal/core"
	"gentiantide.example/gentiantide/internal/routetable"
)

// The fleet of these tests is that of the largest known platform: 78 nodes in three data
// centres, through which the callers of an organisation come with uneven shares.
var largeFleet = []int{26, 26, 26}

// warmUp is the time until the ledgers are full. Callers come 14 s after the nodes.
const warmUp = 14 * time.Second

// TestHotOrganisation: one organisation sends 8 times its limit through 78 nodes, while
// another sends its usual.
func TestHotOrganisation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hot, calm := simOrg("hot", 60, 30), simOrg("calm", 8, 4)
		f := newSimFleet(t, 1, largeFleet, hot, calm)
		defer f.stop()
		time.Sleep(warmUp)
		var wait sync.WaitGroup
		wait.Go(func() { f.send(hot, 8*60, 20*time.Second, f.any()) })
		wait.Go(func() { f.send(calm, 5, 20*time.Second, f.any()) })
		wait.Wait()
		f.checkRule(hot, time.Time{})
		f.checkRule(calm, time.Time{})
		f.checkServed(hot, 0.98)
		f.checkServed(calm, 0.98)
		t.Logf("%d messages, %d bytes", f.calls.Load(), f.bytes.Load())
	})
}

// TestWaves: organisations of several sizes whose limit is 1.6 times their usual send 0.4
// and 1.9 times that by turns of 5.8 s, most in one data centre.
func TestWaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		usual := map[*routetable.Organisation]float64{}
		var orgs []*routetable.Organisation
		for name, rate := range map[core.Org]float64{"large": 40, "middle": 8, "small": 1} {
			org := simOrg(name, 1.6*rate, 1.6*rate)
			usual[org] = rate
			orgs = append(orgs, org)
		}
		f := newSimFleet(t, 2, largeFleet, orgs...)
		defer f.stop()
		time.Sleep(warmUp)
		var wait sync.WaitGroup
		for _, org := range orgs {
			wait.Go(func() {
				for range 3 {
					f.send(org, 0.4*usual[org], 5800*time.Millisecond, f.any())
					f.send(org, 1.9*usual[org], 5800*time.Millisecond, f.any())
				}
			})
		}
		wait.Wait()
		for _, org := range orgs {
			f.checkRule(org, time.Time{})
			f.checkServed(org, 0.98)
		}
	})
}

// TestThreeHot: the three largest organisations send 8 times their usual at the same time.
func TestThreeHot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		orgs := []*routetable.Organisation{simOrg("first", 64, 64), simOrg("second", 28, 28), simOrg("third", 17, 17)}
		f := newSimFleet(t, 3, largeFleet, orgs...)
		defer f.stop()
		time.Sleep(warmUp)
		var wait sync.WaitGroup
		for _, org := range orgs {
			wait.Go(func() { f.send(org, 8*org.RequestsPerSecond/1.6, 10*time.Second, f.any()) })
		}
		wait.Wait()
		for _, org := range orgs {
			f.checkRule(org, time.Time{})
			f.checkServed(org, 0.98)
		}
	})
}

// TestLimitFallsWhileHot: the limit of an organisation that sends 8 times as much falls to
// a tenth, and rises again.
func TestLimitFallsWhileHot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		high, low := simOrg("hot", 60, 60), simOrg("hot", 6, 6)
		f := newSimFleet(t, 4, largeFleet, high)
		defer f.stop()
		time.Sleep(warmUp)
		var wait sync.WaitGroup
		wait.Go(func() { f.send(high, 8*60, 24*time.Second, f.any()) })
		time.Sleep(8 * time.Second)
		f.configure(low)
		fallen := time.Now()
		time.Sleep(8 * time.Second)
		f.mu.Lock()
		u := f.use["hot"]
		if most := u.mostInWindow(fallen.Add(leaseTime)); most > allowed(6, 6) {
			t.Errorf("%d admitted in a window under the lower limit, %d allowed", most, allowed(6, 6))
		}
		before := len(u.admitted)
		f.mu.Unlock()
		f.configure(high)
		wait.Wait()
		f.checkRule(high, time.Time{})
		f.requests.Wait()
		if risen := len(u.admitted) - before; risen < 8*60*9/10 {
			t.Errorf("%d admitted in the 8 s after the limit has risen to 60 a second", risen)
		}
	})
}

// TestDataCentreCutOff: a data centre with a third of the callers is cut off for 6 s while
// one organisation sends 8 times its usual, others theirs.
func TestDataCentreCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hot, large, small := simOrg("hot", 60, 60), simOrg("large", 64, 64), simOrg("small", 2, 2)
		f := newSimFleet(t, 5, largeFleet, hot, large, small)
		defer f.stop()
		time.Sleep(warmUp)
		var wait sync.WaitGroup
		wait.Go(func() { f.send(hot, 8*60, 16*time.Second, f.any()) })
		wait.Go(func() { f.send(large, 40, 16*time.Second, f.any()) })
		wait.Go(func() { f.send(small, 1.2, 16*time.Second, f.any()) })
		time.Sleep(5 * time.Second)
		f.cut("dc-0", 1)
		time.Sleep(6 * time.Second)
		f.cut("dc-0", 0)
		wait.Wait()
		for _, org := range []*routetable.Organisation{hot, large, small} {
			f.checkRule(org, time.Time{})
			f.checkServed(org, 0.9)
		}
	})
}

// TestMassRestart: all nodes are killed at once and are back within 1.5 s, twice, while an
// organisation sends 8 times its limit.
func TestMassRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hot := simOrg("hot", 10, 60)
		f := newSimFleet(t, 6, largeFleet, hot)
		defer f.stop()
		time.Sleep(warmUp)
		var wait sync.WaitGroup
		wait.Go(func() { f.send(hot, 80, 12*time.Second, f.any()) })
		for range 2 {
			time.Sleep(2 * time.Second)
			for i, id := range f.ids {
				f.nodes[id].restart(500*time.Millisecond + time.Duration(i*311%1000)*time.Millisecond)
			}
		}
		wait.Wait()
		f.checkRule(hot, time.Time{})
		t.Logf("admitted %d of %.0f", len(f.use["hot"].admitted), f.use["hot"].wanted)
	})
}

// TestOwnerFreezes: the owners of an organisation that sends 8 times its limit freeze for
// 3 s and wake, one data centre after the other.
func TestOwnerFreezes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hot := simOrg("hot", 20, 60)
		f := newSimFleet(t, 7, largeFleet, hot)
		defer f.stop()
		time.Sleep(warmUp)
		var wait sync.WaitGroup
		wait.Go(func() { f.send(hot, 160, 18*time.Second, f.any()) })
		for _, dataCentre := range f.nodes[f.ids[0]].process.Load().service.candidates().dataCentres() {
			owner := f.nodes[f.nodes[f.ids[0]].process.Load().service.candidates().owners("hot", dataCentre)[0]]
			owner.frozen.Store(true)
			time.Sleep(3 * time.Second)
			owner.frozen.Store(false)
			time.Sleep(time.Second)
		}
		wait.Wait()
		f.checkRule(hot, time.Time{})
		f.checkServed(hot, 0.9)
	})
}

// TestUnusedShareMoves: callers of an organisation that use all data centres change to one
// of them. It gets the whole limit within a second.
func TestUnusedShareMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		org := simOrg("moves", 60, 10)
		f := newSimFleet(t, 8, largeFleet, org)
		defer f.stop()
		time.Sleep(warmUp)
		f.send(org, 120, 5*time.Second, f.any())
		f.send(org, 120, time.Second, f.in("dc-2"))
		f.requests.Wait()
		before := len(f.use["moves"].admitted)
		f.send(org, 120, 5*time.Second, f.in("dc-2"))
		f.requests.Wait()
		if got := len(f.use["moves"].admitted) - before; got < 60*5*9/10 {
			t.Errorf("%d admitted in 5 s, of 300", got)
		}
		f.checkRule(org, time.Time{})
	})
}
