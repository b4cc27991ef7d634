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

// Observe adds a holder's observation; 0 means not observed.
func (l *Ledger) Observe(firstToken, perToken time.Duration) {
	if firstToken > 0 {
		l.speed.firstToken.add(firstToken)
	}
	if perToken > 0 {
		l.speed.perToken.add(perToken)
	}
}

func (s *speed) fill(load *Load) {
	load.FirstToken, load.PerToken = s.firstToken.median(), s.perToken.median()
	load.Observations = max(s.firstToken.count, s.perToken.count)
}
