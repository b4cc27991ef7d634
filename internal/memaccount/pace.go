package memaccount

import (
	"math"
	"time"
)

// unjudged is the pace of a holder that is too young to be judged.
const unjudged int64 = math.MaxInt64

// pace measures how fast bytes arrive, over the present window and the one before.
type pace struct {
	began, windowBegan time.Time
	// inWindow and before are the bytes of the two windows.
	inWindow, before int64
}

func (p *pace) received(n int64, now time.Time) {
	if passed := now.Sub(p.windowBegan); passed >= paceWindow {
		p.before = p.inWindow
		if passed >= 2*paceWindow {
			p.before = 0
		}
		p.inWindow, p.windowBegan = 0, now
	}
	p.inWindow += n
}

// at returns the pace in bytes per second at a time.
func (p *pace) at(now time.Time) int64 {
	if now.Sub(p.began) < judgedAfter {
		return unjudged
	}
	passed := now.Sub(p.windowBegan)
	switch {
	case passed >= 2*paceWindow:
		return 0
	case p.windowBegan.Equal(p.began):
		return perSecond(p.inWindow, passed)
	}
	return perSecond(p.inWindow+p.before, passed+paceWindow)
}

func perSecond(n int64, d time.Duration) int64 { return int64(float64(n) / d.Seconds()) }
