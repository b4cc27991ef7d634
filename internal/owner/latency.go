package owner

import (
	"slices"
	"time"
)

// latencyWindowSize is the number of observations from which the median latency
// of a replica is computed. The median of nine shows a slow replica after five
// requests and is not changed by single long requests.
const latencyWindowSize = 9

// latencyWindows holds the last latencies of one replica, as observed by all of
// its holders.
type latencyWindows struct {
	firstToken latencyWindow
	perToken   latencyWindow
}

// latencyWindow is a ring buffer of the last observations.
type latencyWindow struct {
	values [latencyWindowSize]time.Duration
	count  int
}

func (w *latencyWindow) add(v time.Duration) {
	w.values[w.count%latencyWindowSize] = v
	w.count++
}

func (w *latencyWindow) median() time.Duration {
	if w.count == 0 {
		return 0
	}
	values := w.values
	known := values[:min(w.count, latencyWindowSize)]
	slices.Sort(known)
	return known[len(known)/2]
}

// Observe adds a holder's latency sample. A cancelled wait for the first token
// is only a lower bound of the time, so it is added only if it exceeds the
// median.
func (l *Ledger) Observe(o LatencySample) {
	first := &l.latency.firstToken
	if o.FirstToken > 0 {
		first.add(o.FirstToken)
	} else if o.Waited > 0 && o.Waited > first.median() {
		first.add(o.Waited)
	}
	if o.PerToken > 0 {
		l.latency.perToken.add(o.PerToken)
	}
}

func (w *latencyWindows) fillLoad(load *Load) {
	load.FirstToken, load.PerToken = w.firstToken.median(), w.perToken.median()
	load.Observations = max(w.firstToken.count, w.perToken.count)
}
