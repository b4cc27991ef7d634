package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// noticePhaseTime is how long an engine names a limit and another one says that it
	// is leaving.
	noticePhaseTime = 8 * time.Second
	// namedLimit is the limit in requests a second.
	namedLimit = 3
	// limitWindow is the time over which the requests of a limited engine are counted,
	// and allowedInWindow how many it may get.
	limitWindow     = 4 * time.Second
	allowedInWindow = 1.5*namedLimit*4 + 5
	// drainTime is how long a leaving engine may get further requests.
	drainTime = 2 * time.Second
)

// noticePhase lets engines say in their responses that they take few requests or are
// leaving, which no registration shows, while nodes are killed and restarted.
type noticePhase struct {
	testbed *testbed
	oracle  *oracle
	rng     *rand.Rand
	log     func(format string, args ...any)
}

// run makes the phase. The nodes are connected and callers are active.
func (p *noticePhase) run() error {
	engines := p.testbed.readyEngines()
	if len(engines) < 3 {
		p.log("%d engines are left; no phase with notices", len(engines))
		return nil
	}
	limited, leaving := engines[0], engines[1]
	limited.SetLimit(fmt.Sprint(namedLimit))
	leaving.SetLeaving()
	began, restarts := time.Now(), 0
	p.log("%s names a limit, %s says that it is leaving", limited.ID, leaving.ID)
	for time.Since(began) < noticePhaseTime {
		time.Sleep(time.Duration(300+p.rng.IntN(500)) * time.Millisecond)
		n := p.testbed.nodes[p.rng.IntN(len(p.testbed.nodes))]
		switch p.rng.IntN(6) {
		case 0:
			p.log("kill %s among notices", n.name)
			n.process.Kill()
			if err := p.testbed.startNode(n); err != nil {
				return err
			}
			restarts++
		case 1:
			if time.Since(n.startedAt) >= minSignalAge {
				p.log("send the settings reload signal to %s among notices", n.name)
				n.process.Signal(syscall.SIGHUP)
			}
		}
	}
	p.checkLimit(limited, began)
	p.checkLeaving(leaving, began, restarts)
	limited.SetLimit("")
	if err := p.testbed.store.Remove("servers", leaving.ID); err != nil {
		return err
	}
	leaving.draining = true
	_, err := p.testbed.addBackend("replacement", "models", eventsPerStream)
	return err
}

// checkLimit counts the requests in each window, once all nodes must know the limit.
func (p *noticePhase) checkLimit(b *backend, began time.Time) {
	var times []time.Time
	for _, r := range b.ReceivedRequests() {
		if r.At.After(began.Add(contactTime)) {
			times = append(times, r.At)
		}
	}
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > limitWindow {
			first++
		}
		if n := i - first + 1; n > allowedInWindow {
			p.oracle.addViolation("%s named a limit of %d a second and got %d requests in %s", b.ID, namedLimit, n, limitWindow)
			return
		}
	}
	p.log("%d requests reached the limited engine after %s", len(times), contactTime)
}

// checkLeaving counts the requests after the time to drain. A node that was restarted
// may have sent one before it was told.
func (p *noticePhase) checkLeaving(b *backend, began time.Time, restarts int) {
	late := 0
	for _, r := range b.ReceivedRequests() {
		if r.At.After(began.Add(contactTime + drainTime)) {
			late++
		}
	}
	p.log("%d requests reached the leaving engine later than %s", late, contactTime+drainTime)
	if late > restarts {
		p.oracle.addViolation("%s said that it is leaving and got %d requests later than %s, with %d restarts of nodes", b.ID, late, contactTime+drainTime, restarts)
	}
}
