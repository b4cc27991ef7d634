package owner

import (
	"slices"
	"time"
)

// speedWindow is the number of observations whose median describes the speed
// of a replica. A median of few values shows a slow replica after five
// requests and is not moved by single long ones.
const speedWindow = 9

// speed keeps what all holders observed of one replica.
type speed struct {
	firstToken window
	perToken   window
}

// window holds the last observations.
type window struct {
	values [speedWindow]time.Duration
	count  int
}

func (w *window) add(v time.Duration) {
	w.values[w.count%speedWindow] = v
	w.count++
}

func (w *window) median() time.Duration {
	if w.count == 0 {
		return 0
	}
	values := w.values
	known := values[:min(w.count, speedWindow)]
	slices.Sort(known)
	return known[len(known)/2]
}

// Observe adds a holder's observation. A wait without a first token shows only
// that the time is longer, so it counts if it is above the median.
func (l *Ledger) Observe(o Speed) {
	first := &l.speed.firstToken
	if o.FirstToken > 0 {
		first.add(o.FirstToken)
	} else if o.Waited > 0 && o.Waited > first.median() {
		first.add(o.Waited)
	}
	if o.PerToken > 0 {
		l.speed.perToken.add(o.PerToken)
	}
}

func (s *speed) fill(load *Load) {
	load.FirstToken, load.PerToken = s.firstToken.median(), s.perToken.median()
	load.Observations = max(s.firstToken.count, s.perToken.count)
}
