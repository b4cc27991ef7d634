package soak

import (
	"math/rand/v2"
	"time"

	"gentiantide.example/gentiantide/platform/platformtest"
)

const (
	// failureTime is how long a replica fails all of its runs at once.
	failureTime = 4 * time.Second
	// reuseTime is the time within which a replica that is sound again is used:
	// minReuses complete runs or more.
	reuseTime = 5 * time.Second
	minReuses = 5
)

// failurePhase makes one replica fail all of its runs at once, while its registration says
// that it is ready, and checks that it is used again once it is sound.
type failurePhase struct {
	testbed *testbed
	oracle  *oracle
	rng     *rand.Rand
	log     func(format string, args ...any)
}

// run makes the phase. The nodes are connected and callers are active.
func (p *failurePhase) run() {
	var ready []*backend
	for _, b := range p.testbed.backends {
		if !b.draining {
			ready = append(ready, b)
		}
	}
	b := ready[p.rng.IntN(len(ready))]
	failure := platformtest.Behaviour{Reset: true}
	if p.rng.IntN(2) == 0 {
		failure = platformtest.Behaviour{Status: 500}
	}
	before := runsSince(b, time.Time{}, false)
	b.SetBehaviour(func(platformtest.ReceivedRequest) platformtest.Behaviour { return failure })
	p.log("%s fails all of its runs, status %d", b.ID, failure.Status)
	time.Sleep(failureTime)
	p.log("%s is sound again; it failed %d runs", b.ID, runsSince(b, time.Time{}, false)-before)
	sound := time.Now()
	serveNormally(b)
	for runsSince(b, sound, true) < minReuses {
		if time.Since(sound) > reuseTime {
			p.oracle.addViolation("%s failed all of its runs until %s and completed only %d in the %s since", b.ID, clock(sound), runsSince(b, sound, true), reuseTime)
			return
		}
		time.Sleep(contactInterval)
	}
	p.log("%s was used again within %s", b.ID, time.Since(sound).Round(time.Millisecond))
}

// runsSince counts the runs of a replica that began after a time, or only the complete ones.
func runsSince(b *backend, since time.Time, whole bool) int {
	runs := 0
	for _, r := range b.ReceivedRequests() {
		if r.Ran && r.RequestID != "" && r.At.After(since) && (r.Whole || !whole) {
			runs++
		}
	}
	return runs
}
